// The module.change scenario: what a change of one server costs the decision module, and what the
// next request costs.
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "measure.hpp"
#include "measurement_recorder.hpp"
#include "module/load_driver.hpp"
#include "module/module_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 120;
constexpr Micros kChangeInterval = 10 * kMillisecond;
constexpr double kMaxCpuUs = 4e6;  // for the changes at one list size
constexpr const char* kAllChanges = "change";

// Changes the listed servers one at a time. A request follows each change, because the module may
// defer work of a change to the next request, and that cost must be measured too.
class ChangeTrial {
 public:
  ChangeTrial(const Options& options, std::size_t servers)
      : servers_(servers),
        rounds_(options.small ? 10 : 100),
        random_(options.seed),
        driver_(driver_with_servers(options.seed, servers, max_module_gateways(options))) {}

  void measure(const MeasurementRecorder& recorder, const TimeBudget& budget) {
    for (std::size_t i = 0; i < rounds_ && changes_us_ < kMaxCpuUs; ++i) {
      if (budget.is_exhausted()) {
        break;
      }
      restart_random_server();
      change("change_new", listed_endpoint(servers_ + i));
    }
    record(recorder);
  }

 private:
  void restart_random_server() {
    EndpointEntry entry = listed_endpoint(random_() % servers_);
    entry.state = EndpointState::kDraining;
    change("change_drain", entry);
    entry.state = EndpointState::kRemoved;
    change("change_removed", entry);
    entry.state = EndpointState::kUp;
    entry.started_at = driver_.now();
    change("change_restarted", entry);
  }

  void change(const std::string& kind, EndpointEntry entry) {
    driver_.run_until(driver_.now() + kChangeInterval);
    const double cpu_us = driver_.notify(single_change(std::move(entry)));
    changes_us_ += cpu_us;
    samples_us_[kind].push_back(cpu_us);
    samples_us_[kAllChanges].push_back(cpu_us);
    samples_us_["request_after"].push_back(driver_.request(random_() % kTenantsPerGateway));
  }

  void record(const MeasurementRecorder& recorder) {
    const MeasuredSizes sizes = {{"servers", double(servers_)}};
    for (const auto& [name, samples] : samples_us_) {
      recorder.add(name, sizes, median(samples), "us");
    }
    recorder.add("change_p99", sizes, p99(samples_us_[kAllChanges]), "us");
  }

  const std::size_t servers_;
  const std::size_t rounds_;
  std::mt19937_64 random_;
  LoadDriver driver_;
  std::map<std::string, std::vector<double>> samples_us_;  // by measurement name
  double changes_us_ = 0;
};

}  // namespace

void measure_module_changes(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "module.change");
  for (const std::size_t servers : server_counts(options)) {
    ChangeTrial(options, servers).measure(recorder, budget);
  }
  recorder.fit({kAllChanges, "change_p99", "change_drain", "change_removed", "change_restarted",
                "change_new", "request_after"},
               "servers", double(Target{}.servers));
}

}  // namespace quota_gateway::scale
