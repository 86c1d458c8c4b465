// What slopes are measured with: processor time, percentiles, sizes, and the bound in time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <initializer_list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "report.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// Of this thread, in microseconds. The wall clock would tell what else the machine does.
inline double cpu_us() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return double(t.tv_sec) * 1e6 + double(t.tv_nsec) / 1e3;
}

template <typename Work>
double cpu_us_of(Work&& work) {
  const double before = cpu_us();
  work();
  return cpu_us() - before;
}

// Of the sorted samples, the one that `part` of them do not pass; 0 of none.
inline double percentile(std::vector<double> samples, double part) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto at = std::size_t(std::ceil(part * double(samples.size())));
  return samples[std::min(samples.size() - 1, at > 0 ? at - 1 : 0)];
}
inline double median(const std::vector<double>& samples) {
  return percentile(samples, 0.5);
}
inline double p99(const std::vector<double>& samples) {
  return percentile(samples, 0.99);
}

// The wall clock's bound of a scenario, in seconds.
class Bound {
 public:
  Bound(const Options& options, double own)
      : until_(std::chrono::steady_clock::now() +
               std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                   std::chrono::duration<double>(options.seconds > 0 ? options.seconds : own))) {}
  double left() const {
    return std::chrono::duration<double>(until_ - std::chrono::steady_clock::now()).count();
  }
  bool over() const { return left() <= 0; }

 private:
  std::chrono::steady_clock::time_point until_;
};

// Four sizes or more that end at `largest`, each about ten times the one before: a thousandth of it
// first.
inline std::vector<std::size_t> sizes_up_to(std::size_t largest) {
  std::vector<std::size_t> sizes;
  for (const double part : {0.001, 0.01, 0.1, 1.0}) {
    const auto size = std::max<std::size_t>(1, std::size_t(std::llround(part * double(largest))));
    if (sizes.empty() || size > sizes.back()) {
      sizes.push_back(size);
    }
  }
  return sizes;
}

inline std::vector<std::size_t> server_sizes(const Options& o) {
  if (o.servers > 0) {
    return sizes_up_to(o.servers);
  }
  if (o.small) {
    return {20, 200, 1'000, 3'000};
  }
  return {200, 2'000, 20'000, Target{}.servers};
}

// An estimate of memory; one that is beyond all machines stays a number.
inline std::uint64_t bytes(double estimate) {
  return std::uint64_t(std::min(estimate, 1e18));
}

// What one scenario adds its figures with.
struct Teller {
  Report& report;
  std::string scenario;
  void add(const std::string& name, std::map<std::string, double> at, double value,
           const char* unit) {
    report.add({scenario, name, std::move(at), value, unit});
  }
  void note(const std::string& text) { report.note(scenario, text); }
  void fit(std::initializer_list<const char*> names, const std::string& by, std::size_t target) {
    for (const char* name : names) {
      report.fit(scenario, name, by, double(target));
    }
  }
};

}  // namespace quota_gateway::scale
