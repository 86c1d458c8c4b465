#include "measure.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <ctime>
#include <utility>

#include "process_resources.hpp"

namespace quota_gateway::scale {

double thread_cpu_us() {
  timespec spent{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return double(spent.tv_sec) * 1e6 + double(spent.tv_nsec) / 1e3;
}

double heap_in_use_mb() {
  return double(allocated_bytes()) / 1e6;
}

double percentile(std::vector<double> samples, double fraction) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto rank = std::size_t(std::ceil(fraction * double(samples.size())));
  const std::size_t index = rank > 0 ? rank - 1 : 0;
  return samples[std::min(samples.size() - 1, index)];
}

double median(const std::vector<double>& samples) {
  return percentile(samples, 0.5);
}

double p99(const std::vector<double>& samples) {
  return percentile(samples, 0.99);
}

double largest(const std::vector<double>& samples) {
  return percentile(samples, 1);
}

}  // namespace quota_gateway::scale
