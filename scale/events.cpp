// Scenarios of events that affect a fleet: a tenth of the gateways restarts, or a rack, a zone, a
// region or a control machine is lost and returns. Each scenario measures bytes, CPU time, memory,
// the time until all gateways have converged, whether a gateway was without a list in between, and
// how requests to discovery cluster in time.
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "disruptions.hpp"
#include "event_measurement.hpp"
#include "fleet_scenario.hpp"
#include "report.hpp"
#include "scenario.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;

// Requests at each gateway during an event; served requests show that the gateway works.
constexpr double kRequestsPerS = 2;
// The gateways of one of these groups restart together.
constexpr std::size_t kGroups = 10;
constexpr double kTenantsPerGateway = 100;

std::size_t gateways_of(const Options& options) {
  return ScenarioSizes{options}.gateways(7'400, 30);
}

std::size_t servers_of(const Options& options) {
  return ScenarioSizes{options}.servers(1'700, 700);
}

std::uint64_t memory_of(const Options& options) {
  const std::size_t gateways = gateways_of(options);
  const auto agents = double(Target{}.regions);
  const std::uint64_t memory =
      fleet_memory(double(gateways), double(servers_of(options)), kTenantsPerGateway, agents);
  return require_descriptors(memory, gateways, false);
}

// Uses one agent for each region.
TestFleet::Options event_fleet_options(const Options& options, bool with_persisted_list) {
  TestFleet::Options fleet = test_fleet_options(options, gateways_of(options), servers_of(options));
  fleet.agents = fleet.layout.regions;
  fleet.with_persisted_list = with_persisted_list;
  fleet.fleet.groups = kGroups;
  fleet.fleet.requests_per_s = kRequestsPerS;
  return fleet;
}

// Publishes a change of each of the first servers, so that there are changes to catch up on.
void drain_servers(TestFleet& fleet, std::size_t servers) {
  for (std::size_t server = 0; server < servers; ++server) {
    fleet.publish({fleet.listed_server(server, Phase::kDraining)});
  }
}

// With and without the history that partial lists need.
constexpr std::array kHistoryCases = {true, false};

const char* history_name(bool has_history) {
  return has_history ? "history" : "lost history";
}

// A tenth of the gateways restarts at the same time.
constexpr const char* kRestarts = "events.restarts";

void measure_restart(const Options& options, Report& report, bool with_persisted_list) {
  constexpr std::size_t kDrainedServers = 10;
  constexpr std::size_t kRestartedGroup = kGroups / 2;
  TestFleet fleet(event_fleet_options(options, with_persisted_list));
  start_and_converge(fleet);
  drain_servers(fleet, kDrainedServers);
  if (!fleet.wait_until_converged(kConvergenceTimeout)) {
    throw std::runtime_error("the gateways have not converged a minute after servers changed");
  }
  EventMeasurement event(fleet, report, kRestarts, {{"known_list", double(with_persisted_list)}});
  fleet.fleet().restart(kRestartedGroup);
  event.finish("restarted");
  const FleetState restarted = fleet.fleet().state_of(kRestartedGroup);
  event.add_measurement("restarted.longest_without_list",
                        double(restarted.longest_time_to_first_list) / kMicrosPerMilli, "ms");
}

void run_restarts(const Options& options, Report& report) {
  const ScenarioDeadline deadline(options, 120);
  for (const bool with_persisted_list : {true, false}) {
    if (deadline.expired(report, kRestarts, with_persisted_list ? "a known list" : "no list")) {
      return;
    }
    measure_restart(options, report, with_persisted_list);
  }
}

// Removes servers and adds them again, and measures both events.
void measure_loss(const Options& options, Report& report, const char* scenario,
                  const std::function<bool(const Layout&, std::size_t server)>& is_lost) {
  TestFleet fleet(event_fleet_options(options, true));
  start_and_converge(fleet);
  for (const Phase phase : {Phase::kRemoved, Phase::kUp}) {
    const auto servers = fleet.listed_servers(
        phase, [&](std::size_t server) { return is_lost(fleet.layout(), server); });
    EventMeasurement event(fleet, report, scenario, {{"changed", double(servers.size())}});
    fleet.publish_and_expect(servers);
    event.finish(phase == Phase::kRemoved ? "lost" : "back");
  }
}

constexpr const char* kRack = "events.rack";
constexpr std::size_t kLostRack = 1;

void run_rack(const Options& options, Report& report) {
  measure_loss(options, report, kRack, [](const Layout& layout, std::size_t server) {
    return layout.rack(server) == kLostRack;
  });
}

constexpr const char* kZone = "events.zone";
constexpr std::size_t kLostZone = 1;

void run_zone(const Options& options, Report& report) {
  measure_loss(options, report, kZone, [](const Layout& layout, std::size_t server) {
    return layout.zone(server) == kLostZone;
  });
}

// A region is cut off from discovery for an hour of the run's clock.
constexpr const char* kRegion = "events.region";
// Changes within this time are published as one. Published one by one, an hour's changes within
// seconds would keep gateways busier than any day does, and the scenario would measure only their
// backlog.
constexpr Micros kReplayStep = 500'000;
constexpr std::size_t kCutAgent = 1;

// Returns the factor by which the cut is shorter than an hour.
double region_compression(const Options& options) {
  return options.small ? 900 : 120;
}

std::vector<Disruption> draw_region_hour(const Options& options, const Layout& layout) {
  DisruptionOptions period;
  period.seed = options.seed;
  period.hours = 1;
  // As many changes as the target has in an hour.
  period.target_rate_fraction = 1;
  period.compression = region_compression(options);
  return draw_disruptions(layout, period);
}

// Ends the outage of an agent.
void return_agent(TestFleet& fleet, std::size_t agent, bool has_history,
                  const std::function<void(FakeDiscovery&)>& resume) {
  fleet.expect();
  fleet.with_agent(agent, [&](FakeDiscovery& discovery) {
    if (!has_history) {
      discovery.forget_history();
    }
    resume(discovery);
  });
}

void measure_region(const Options& options, Report& report, bool has_history) {
  TestFleet fleet(event_fleet_options(options, true));
  start_and_converge(fleet);
  const auto disruptions = draw_region_hour(options, fleet.layout());
  const auto length = Micros(kRegionCutS * kMicrosPerSecond / region_compression(options));
  const FleetUsage before = fleet.usage();
  fleet.with_agent(kCutAgent, [](FakeDiscovery& agent) { agent.set_silent(true); });
  const std::size_t changes = fleet.replay(disruptions, length, kReplayStep);
  // Lets the other regions receive the last changes.
  sleep_for(kReplayStep);
  const FleetUsage cut = fleet.usage().since(before);

  EventMeasurement event(fleet, report, kRegion, {{"history", double(has_history)}});
  const Layout& layout = fleet.layout();
  const double gateways_cut = double(layout.gateways) / double(layout.regions);
  event.add_measurement("cut.changes", double(changes), "servers");
  event.add_measurement("cut.connections",
                        double(cut.discovery.connections) / cut.seconds() / gateways_cut,
                        "1/s/gateway cut");
  event.add_measurement("cut.agents_cpu", double(cut.agents_cpu) / cut.seconds(), "us/s");
  return_agent(fleet, kCutAgent, has_history,
               [](FakeDiscovery& agent) { agent.set_silent(false); });
  event.finish("back");
}

void run_region(const Options& options, Report& report) {
  const ScenarioDeadline deadline(options, 180);
  for (const bool has_history : kHistoryCases) {
    if (deadline.expired(report, kRegion, history_name(has_history))) {
      return;
    }
    measure_region(options, report, has_history);
  }
  report.note(kRegion, "an hour is shortened " + std::to_string(int(region_compression(options))) +
                           " times and contains the target's changes of an hour; the "
                           "clients' waits are not shortened");
}

// A control machine is lost and returns.
constexpr const char* kControl = "events.control";
constexpr std::size_t kLostAgent = 2;

void measure_control(const Options& options, Report& report, bool has_history) {
  constexpr std::size_t kDrainedServers = 20;
  TestFleet fleet(event_fleet_options(options, true));
  start_and_converge(fleet);
  const FleetUsage before = fleet.usage();
  fleet.with_agent(kLostAgent, [](FakeDiscovery& agent) { agent.stop(); });
  drain_servers(fleet, kDrainedServers);
  sleep_for(ScenarioSizes{options}.window(10, 0.5));
  const FleetUsage lost = fleet.usage().since(before);

  EventMeasurement event(fleet, report, kControl, {{"history", double(has_history)}});
  event.add_measurement(
      "lost.gateways_cpu",
      double(lost.gateways_cpu) / lost.seconds() / double(fleet.layout().gateways), "us/s/gateway");
  return_agent(fleet, kLostAgent, has_history, [](FakeDiscovery& agent) { agent.start(); });
  event.finish("back");
}

void run_control(const Options& options, Report& report) {
  const ScenarioDeadline deadline(options, 120);
  for (const bool has_history : kHistoryCases) {
    if (deadline.expired(report, kControl, history_name(has_history))) {
      return;
    }
    measure_control(options, report, has_history);
  }
}

}  // namespace

void add_events(std::vector<Scenario>& scenarios) {
  scenarios.push_back(
      {kRestarts, "a tenth of the gateways restarts at the same time", memory_of, run_restarts});
  scenarios.push_back({kRack, "a rack is lost and returns", memory_of, run_rack});
  scenarios.push_back({kZone, "a zone is lost and returns", memory_of, run_zone});
  scenarios.push_back({kRegion,
                       "a region is cut off from discovery for a shortened hour and reconnected",
                       memory_of, run_region});
  scenarios.push_back({kControl, "a control machine is lost and returns", memory_of, run_control});
}

}  // namespace quota_gateway::scale
