// The fleet.changes scenario: the cost of a fleet's discovery watches by changes per second.
#include <string>

#include "disruptions.hpp"
#include "fleet/fleet_slopes.hpp"
#include "fleet_scenario.hpp"
#include "layout.hpp"
#include "measurement_recorder.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.changes";
constexpr double kDefaultSeconds = 120;
constexpr double kSpareHours = 0.1;  // of disruptions drawn beyond the replayed window
constexpr double kSecondsPerHour = 3'600;
constexpr double kSecondsPerDay = 86'400;
// Changes of the list caused by a restart (draining, removed, up) and by a failure of one server
// (removed, up).
constexpr double kChangesPerRestart = 3;
constexpr double kChangesPerFailure = 2;

std::size_t gateway_count(const Options& options) {
  return ScenarioSizes{options}.gateways(285, 10);
}

std::size_t server_count(const Options& options) {
  return ScenarioSizes{options}.servers(1'000, 200);
}

DisruptionOptions day_options(const Options& options, double compression, Micros window) {
  DisruptionOptions day;
  day.seed = options.seed;
  day.target_rate_fraction = 1;  // the operators' full rates, on fewer servers
  day.compression = compression;
  day.hours = double(window) / 1e6 * compression / kSecondsPerHour + kSpareHours;
  return day;
}

// Returns the mean number of changed servers per second at the operators' rates.
double mean_changes_per_s() {
  const Target target;
  const double restarts = kChangesPerRestart * target.restarts_per_day;
  const double failures = kChangesPerFailure * target.failures_per_day * double(kServersPerMachine);
  return (restarts + failures) / kSecondsPerDay;
}

void measure_compression(const Options& options, const MeasurementRecorder& recorder,
                         double compression) {
  const std::size_t gateway_total = gateway_count(options);
  const auto gateways = double(gateway_total);
  TestFleet test_fleet(test_fleet_options(options, gateway_total, server_count(options)));
  start_and_converge(test_fleet);
  const Micros window = ScenarioSizes{options}.window(12, 0.7);
  const auto day = draw_disruptions(test_fleet.layout(), day_options(options, compression, window));
  const auto before = test_fleet.usage();
  const std::size_t changes = test_fleet.replay(day, window);
  const bool all_converged = test_fleet.wait_until_converged(kConvergenceTimeout);
  const auto usage = test_fleet.usage().since(before);
  const double seconds = usage.seconds();
  const MeasuredSizes sizes = {{"changes_per_s", double(changes) / seconds}};
  const auto bytes = double(usage.discovery.traffic.sent);
  recorder.add("bytes", sizes, bytes / seconds / gateways, "bytes/s/watcher");
  recorder.add("agent_cpu", sizes, double(usage.agents_cpu) / seconds, "us/s");
  recorder.add("gateway_cpu", sizes, double(usage.gateways_cpu) / seconds / gateways,
               "us/s/gateway");
  recorder.add("module_cpu", sizes, double(usage.module_cpu) / seconds / gateways, "us/s/gateway");
  if (!all_converged) {
    recorder.note("not all gateways had converged a minute after the last change");
  }
}

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  for (const double compression : {1.0, 8.0, 32.0, 128.0}) {
    if (deadline.expired(
            report, kScenario,
            std::to_string(int(compression)) + " times the target's rate of changes")) {
      break;
    }
    measure_compression(options, recorder, compression);
  }
  const double mean = mean_changes_per_s();
  recorder.fit({"bytes", "agent_cpu", "gateway_cpu", "module_cpu"}, "changes_per_s", mean);
  recorder.note("the target is the mean of a day at the operators' rates, " + std::to_string(mean) +
                " changed servers per second; measured with " +
                std::to_string(gateway_count(options)) + " watchers and " +
                std::to_string(server_count(options)) + " servers");
}

std::uint64_t memory(const Options& options) {
  const std::size_t gateways = gateway_count(options);
  return require_descriptors(fleet_memory(double(gateways), double(server_count(options))),
                             gateways, false);
}

}  // namespace

Scenario change_rate_scenario() {
  return {kScenario,
          "a day at the target's rates, replayed at several speeds: bytes, agent and gateway by "
          "changes per second",
          memory, run};
}

}  // namespace quota_gateway::scale
