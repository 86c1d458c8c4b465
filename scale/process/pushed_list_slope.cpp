// The process.pushed scenario: how long a gateway process that knows no server takes to accept a
// complete list, and the processor time and memory that this costs.
#include <string>

#include "fake_discovery.hpp"
#include "measurement_recorder.hpp"
#include "process/gateway_environment.hpp"
#include "process/gateway_process.hpp"
#include "process/polling.hpp"
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 180;
constexpr double kListAppliedTimeoutS = 5;

void record_accepted(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                     const GatewayProcess& gateway, double ready_after_ms,
                     const FakeDiscovery::Counts& counts) {
  recorder.add("ready", sizes, ready_after_ms, "ms");
  recorder.add("list", sizes, gateway.cpu_ms(), "ms cpu");
  recorder.add("list_bytes", sizes, double(counts.traffic.sent), "bytes");
  recorder.add("resident", sizes, gateway.resident_mb(), "MB");
  recorder.add("peak", sizes, gateway.peak_resident_mb(), "MB");
}

void measure_point(const Options& options, const MeasurementRecorder& recorder,
                   std::size_t server_count) {
  const MeasuredSizes sizes = {{"servers", double(server_count)}};
  GatewayEnvironment environment(server_count);
  const GatewayProcess gateway(options.gateway_program,
                               environment.gateway_config(GatewayEnvironment::StartingList::kNone));
  const bool list_accepted = gateway.wait_until_serving(options.small ? 5 : 10);
  const double waited_ms = steady_ms() - gateway.started_at_ms();
  gateway.wait_until_idle(kListAppliedTimeoutS);
  const auto counts = environment.discovery_counts();
  recorder.add("taken", sizes, list_accepted ? 1 : 0, "of 1");
  recorder.add("lists_sent", sizes, double(counts.full_lists), "lists");
  if (list_accepted) {
    record_accepted(recorder, sizes, gateway, waited_ms, counts);
    return;
  }
  recorder.add("not_taken", sizes, gateway.cpu_ms(), "ms cpu");
  recorder.note("a list of " + std::to_string(server_count) + " servers was not accepted within " +
                std::to_string(int(waited_ms / 1e3)) + " s and was sent " +
                std::to_string(counts.full_lists) + " times");
}

}  // namespace

void measure_pushed_lists(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "process.pushed");
  for (const std::size_t server_count : server_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_point(options, recorder, server_count);
    }
  }
  recorder.fit({"ready", "list", "list_bytes", "resident", "peak"}, "servers",
               double(Target{}.servers));
}

}  // namespace quota_gateway::scale
