// The fleet.watchers scenario: heartbeats, memory, and the cost and delay of a change by the
// watchers of one agent.
#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

#include "clocks.hpp"
#include "fleet/fleet_slopes.hpp"
#include "fleet_scenario.hpp"
#include "fleet_usage.hpp"
#include "listed_server.hpp"
#include "measurement_recorder.hpp"
#include "process_resources.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.watchers";
constexpr double kDefaultSeconds = 180;
constexpr std::size_t kChanges = 10;        // published to measure their delays
constexpr std::size_t kHeartbeatBytes = 6;  // with the framing of its chunk
// A change that takes more than this multiple of Target::max_propagation_s fails the run.
constexpr double kMaxPropagationMultiple = 4;

std::size_t gateway_count(const Options& options) {
  return ScenarioSizes{options}.gateways(7'400, 40);
}

std::size_t server_count(const Options& options) {
  return ScenarioSizes{options}.servers(200, 50);
}

// Measures a fleet that has its list and is idle except for its watches.
class WatcherTrial {
 public:
  WatcherTrial(const Options& options, std::size_t gateways, const MeasurementRecorder& recorder)
      : options_(options),
        recorder_(recorder),
        sizes_({{"watchers", double(gateways)}}),
        gateways_(double(gateways)),
        heartbeat_interval_(test_fleet_options(options, gateways, server_count(options))
                                .discovery.heartbeat_interval),
        allocated_before_(allocated_bytes()),
        test_fleet_(test_fleet_options(options, gateways, server_count(options))) {}

  void measure() {
    start_and_converge(test_fleet_);
    const auto allocated = double(allocated_bytes() - allocated_before_);
    recorder_.add("memory_of_all", sizes_, allocated / gateways_ / 1e3, "KB/gateway");
    sleep_for(heartbeat_interval_);
    const FleetUsage baseline = measure_heartbeats();
    measure_changes(baseline);
  }

 private:
  // Measures and returns the usage by heartbeats alone.
  FleetUsage measure_heartbeats() {
    const FleetUsage before = test_fleet_.usage();
    sleep_for(ScenarioSizes{options_}.window(8, 0.6));
    FleetUsage baseline = test_fleet_.usage().since(before);
    const double seconds = baseline.seconds();
    const auto bytes = double(baseline.discovery.traffic.sent);
    recorder_.add("heartbeat_bytes", sizes_, bytes / seconds / gateways_, "bytes/s/watcher");
    recorder_.add("heartbeats", sizes_, double(baseline.discovery.heartbeats) / seconds, "1/s");
    recorder_.add("agent_quiet", sizes_, double(baseline.agents_cpu) / seconds, "us/s");
    recorder_.add("gateway_quiet", sizes_, double(baseline.gateways_cpu) / seconds / gateways_,
                  "us/s/gateway");
    return baseline;
  }

  // Publishes one change at a time, and waits until it is in force at all gateways before the next.
  void measure_changes(const FleetUsage& baseline) {
    std::vector<double> medians_ms;
    std::vector<double> maxima_ms;
    const Micros pause_between = ScenarioSizes{options_}.window(0.2, 0.02);
    const FleetUsage before = test_fleet_.usage();
    for (std::size_t i = 0; i < kChanges; ++i) {
      const Delays delays = change_one(i);
      medians_ms.push_back(delays.median / 1e3);
      maxima_ms.push_back(delays.max / 1e3);
      sleep_for(pause_between);
    }
    const FleetUsage usage = test_fleet_.usage().since(before);
    recorder_.add("in_force_median", sizes_, summarize_delays(medians_ms).median, "ms");
    recorder_.add("in_force_last", sizes_, summarize_delays(maxima_ms).max, "ms");
    record_change_cost(baseline, usage);
  }

  Delays change_one(std::size_t server) {
    const ListedServer entry = test_fleet_.listed_server(server, Phase::kDraining);
    const Micros changed_at = steady_now();
    const std::int64_t revision = test_fleet_.publish({entry});
    const auto timeout = Micros(Target{}.max_propagation_s * 1e6 * kMaxPropagationMultiple);
    const bool in_force = test_fleet_.fleet().wait_until(
        [&](const FleetState& state) { return state.min_revision >= revision; }, timeout);
    if (!in_force) {
      throw std::runtime_error(
          "a change is not in force at all gateways after four times the target's propagation "
          "time");
    }
    return summarize_delays(test_fleet_.fleet().delays(revision, changed_at));
  }

  // Records the cost of the changes, without that of the heartbeats in the same time.
  void record_change_cost(const FleetUsage& baseline, const FleetUsage& usage) const {
    const bool had_heartbeats = baseline.discovery.heartbeats > 0;
    const double heartbeats = had_heartbeats ? double(usage.discovery.heartbeats) : 0;
    const double bytes =
        double(usage.discovery.traffic.sent) - heartbeats * double(kHeartbeatBytes);
    recorder_.add("change_bytes", sizes_, bytes / double(kChanges) / gateways_, "bytes/watcher");
    const double baseline_cpu = double(baseline.agents_cpu) / baseline.seconds() * usage.seconds();
    const double cpu = std::max(0.0, double(usage.agents_cpu) - baseline_cpu);
    recorder_.add("agent_change", sizes_, cpu / double(kChanges), "us");
  }

  const Options& options_;
  const MeasurementRecorder& recorder_;
  const MeasuredSizes sizes_;
  const double gateways_;
  const Micros heartbeat_interval_;  // us between heartbeats of the agent
  const std::uint64_t allocated_before_;
  TestFleet test_fleet_;
};

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  for (const std::size_t gateways : doubling_sizes(gateway_count(options))) {
    if (deadline.expired(report, kScenario, std::to_string(gateways) + " watchers")) {
      break;
    }
    WatcherTrial(options, gateways, recorder).measure();
  }
  const auto all_gateways = double(Target{}.gateways);
  const double gateways_per_machine = all_gateways / double(Target{}.control_machines);
  for (const char* name :
       {"heartbeats", "agent_quiet", "agent_change", "in_force_median", "in_force_last"}) {
    recorder.fit({name}, "watchers", gateways_per_machine);
    recorder.fit({name}, "watchers", all_gateways);
  }
  recorder.fit({"heartbeat_bytes", "change_bytes", "memory_of_all"}, "watchers", all_gateways);
  if (options.small) {
    recorder.note("small run: a heartbeat every 0.2 s instead of every 2 s");
  }
}

std::uint64_t memory(const Options& options) {
  const std::size_t gateways = gateway_count(options);
  return require_descriptors(fleet_memory(double(gateways), double(server_count(options))),
                             gateways, false);
}

}  // namespace

Scenario watcher_scenario() {
  return {kScenario, "heartbeats, a change to each watcher, and how long until it is in force",
          memory, run};
}

}  // namespace quota_gateway::scale
