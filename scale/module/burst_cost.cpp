// The module.burst scenario: what it costs the decision module when all servers of a zone are
// removed and come back.
#include <numeric>
#include <vector>

#include "measure.hpp"
#include "measurement_recorder.hpp"
#include "module/load_driver.hpp"
#include "module/module_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 240;
constexpr Micros kSliceInterval = 5 * kMillisecond;

// Removes all servers of one zone and lists them again, in partial updates of at most kSliceEntries
// servers, with a request after each update.
class BurstTrial {
 public:
  BurstTrial(const Options& options, std::size_t servers)
      : servers_(servers),
        driver_(driver_with_servers(options.seed, servers, max_module_gateways(options))) {}

  void measure(const MeasurementRecorder& recorder, const TimeBudget& budget) {
    change_zone(EndpointState::kRemoved, budget);
    change_zone(EndpointState::kUp, budget);
    record(recorder);
  }

 private:
  void change_zone(EndpointState state, const TimeBudget& budget) {
    EndpointListUpdate slice{EndpointListUpdate::Kind::kPartial, {}};
    for (std::size_t i = 0; i < servers_ && !budget.is_exhausted(); ++i) {
      if (i % kZones == 0) {
        slice.entries.push_back(listed_endpoint(i));
        slice.entries.back().state = state;
      }
      const bool is_last = i + 1 == servers_;
      if (slice.entries.size() == kSliceEntries || is_last) {
        apply(slice, i % kTenantsPerGateway);
        slice.entries.clear();
      }
    }
  }

  void apply(const EndpointListUpdate& slice, std::size_t tenant) {
    changed_servers_ += slice.entries.size();
    slices_ms_.push_back(driver_.notify(slice) / 1e3);
    requests_ms_.push_back(driver_.request(tenant) / 1e3);
    driver_.run_until(driver_.now() + kSliceInterval);
  }

  void record(const MeasurementRecorder& recorder) const {
    const MeasuredSizes sizes = {{"servers", double(servers_)}};
    const double total_ms = std::accumulate(slices_ms_.begin(), slices_ms_.end(), 0.0);
    recorder.add("changed", sizes, double(changed_servers_), "servers");
    recorder.add("slice_longest", sizes, largest(slices_ms_), "ms");
    recorder.add("slice_median", sizes, median(slices_ms_), "ms");
    recorder.add("all_slices", sizes, total_ms, "ms");
    recorder.add("request_after_longest", sizes, largest(requests_ms_), "ms");
  }

  const std::size_t servers_;
  LoadDriver driver_;
  std::vector<double> slices_ms_;
  std::vector<double> requests_ms_;  // of the request that follows each slice
  std::size_t changed_servers_ = 0;
};

}  // namespace

void measure_module_bursts(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "module.burst");
  for (const std::size_t servers : server_counts(options)) {
    BurstTrial(options, servers).measure(recorder, budget);
  }
  recorder.fit({"slice_longest", "all_slices", "request_after_longest"}, "servers",
               double(Target{}.servers));
}

}  // namespace quota_gateway::scale
