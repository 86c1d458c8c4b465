// The process.known scenario: start, memory, single changes and SIGHUP of a gateway process by the
// size of the list that it starts with.
#include <algorithm>

#include "measurement_recorder.hpp"
#include "process/gateway_environment.hpp"
#include "process/gateway_measurements.hpp"
#include "process/gateway_process.hpp"
#include "process/polling.hpp"
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 240;
constexpr double kChangePauseMs = 10;
constexpr double kLastChangeArrivalMs = 100;  // for the last change to arrive at the gateway
constexpr double kChangesAppliedTimeoutS = 20;

// Publishes changes of one server each: the servers drain and come up again, one after the other.
void change_one_by_one(GatewayEnvironment& environment, std::size_t server_count,
                       std::size_t changes) {
  for (std::size_t i = 0; i < changes; ++i) {
    ListedServer server = environment.listed_server(i / 2 % server_count);
    if (i % 2 == 0) {
      server.phase = Phase::kDraining;
    }
    environment.publish({server});
    sleep_ms(kChangePauseMs);
  }
}

void record_changes(const Options& options, const MeasurementRecorder& recorder,
                    GatewayEnvironment& environment, const GatewayProcess& gateway,
                    std::size_t server_count) {
  const MeasuredSizes sizes = {{"servers", double(server_count)}};
  const std::size_t changes = options.small ? 10 : 40;
  const double idle_cpu = measure_idle_cpu(gateway, options.small ? 0.2 : 2);
  recorder.add("idle", sizes, idle_cpu, "ms cpu/s");
  const auto counts_before = environment.discovery_counts();
  const double cpu_before = gateway.cpu_ms();
  const double started_at = steady_ms();
  change_one_by_one(environment, server_count, changes);
  sleep_ms(kLastChangeArrivalMs);
  gateway.wait_until_idle(kChangesAppliedTimeoutS);
  const double idle_share = idle_cpu * (steady_ms() - started_at) / 1e3;
  const double cpu = gateway.cpu_ms() - cpu_before - idle_share;
  const auto counts = environment.discovery_counts();
  const auto bytes = double(counts.traffic.sent - counts_before.traffic.sent);
  recorder.add("change", sizes, std::max(0.0, cpu) / double(changes), "ms cpu");
  recorder.add("change_bytes", sizes, bytes / double(changes), "bytes");
}

void measure_point(const Options& options, const MeasurementRecorder& recorder,
                   std::size_t server_count) {
  const MeasuredSizes sizes = {{"servers", double(server_count)}};
  GatewayEnvironment environment(server_count);
  const GatewayConfigOptions config =
      environment.gateway_config(GatewayEnvironment::StartingList::kKnown);
  GatewayProcess gateway(options.gateway_program, config);
  record_start(recorder, sizes, gateway);
  record_changes(options, recorder, environment, gateway, server_count);
  record_reload(recorder, sizes, gateway, config);
}

}  // namespace

void measure_known_lists(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "process.known");
  for (const std::size_t server_count : server_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_point(options, recorder, server_count);
    }
  }
  recorder.fit({"ready", "start", "start_resident", "start_peak", "idle", "change", "change_bytes",
                "sighup", "sighup_resident", "sighup_peak"},
               "servers", double(Target{}.servers));
}

}  // namespace quota_gateway::scale
