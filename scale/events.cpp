// Events that befall a fleet: gateways restart together, a rack, a zone, a region and a control
// machine are lost and return. Each scenario measures bytes, processor time, memory, how long until
// all gateways have converged, whether one was without a list meanwhile, and how requests to
// discovery bunch together.
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

// At each gateway during an event; what is served shows that it works.
constexpr double kRequestsPerS = 2;
// Gateways that restart together are one of these.
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

// An agent for each region.
TestFleet::Options event_fleet_options(const Options& options, bool with_persisted_list) {
  TestFleet::Options fleet = test_fleet_options(options, gateways_of(options), servers_of(options));
  fleet.agents = fleet.layout.regions;
  fleet.with_persisted_list = with_persisted_list;
  fleet.fleet.groups = kGroups;
  fleet.fleet.requests_per_s = kRequestsPerS;
  return fleet;
}

// Publishes a change of each of the first servers, so that there is something to catch up with.
void drain_servers(TestFleet& fleet, std::size_t servers) {
  for (std::size_t server = 0; server < servers; ++server) {
    fleet.publish({fleet.listed_server(server, Phase::kDraining)});
  }
}

// Once with the history that partial lists need, and once without.
constexpr std::array kHistoryCases = {true, false};

const char* history_name(bool has_history) {
  return has_history ? "history" : "lost history";
}

// A tenth of the gateways restart at once.
constexpr const char* kRestarts = "events.restarts";

void measure_restart(const Options& options, Report& report, bool with_persisted_list) {
  constexpr std::size_t kDrainedServers = 10;
  constexpr std::size_t kRestartedGroup = kGroups / 2;
  TestFleet fleet(event_fleet_options(options, with_persisted_list));
  start_and_converge(fleet);
  drain_servers(fleet, kDrainedServers);
  if (!fleet.wait_until_converged(kConvergenceTimeout)) {
    throw std::runtime_error("a change is not taken");
  }
  EventMeasurement event(fleet, report, kRestarts, {{"known_list", double(with_persisted_list)}});
  fleet.fleet().restart(kRestartedGroup);
  event.finish("restarted");
  const FleetState restarted = fleet.fleet().state_of(kRestartedGroup);
  event.add_figure("restarted.longest_without_list",
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

// Servers are lost and return.
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
// Changes of this time are published as one. One by one, an hour's changes within seconds keep
// gateways busier than any day does, and all that is measured is their backlog.
constexpr Micros kReplayStep = 500'000;
constexpr std::size_t kCutAgent = 1;

// How many times shorter than an hour the cut is.
double region_compression(const Options& options) {
  return options.small ? 900 : 120;
}

std::vector<Disruption> draw_region_hour(const Options& options, const Layout& layout) {
  DisruptionOptions day;
  day.seed = options.seed;
  day.hours = 1;
  // As many changes as the target has in an hour.
  day.target_rate_fraction = 1;
  day.compression = region_compression(options);
  return draw_disruptions(layout, day);
}

// Ends the time for which an agent was away.
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
  const auto hour = draw_region_hour(options, fleet.layout());
  const auto length = Micros(kRegionCutS * kMicrosPerSecond / region_compression(options));
  const FleetUsage before = fleet.usage();
  fleet.with_agent(kCutAgent, [](FakeDiscovery& agent) { agent.set_silent(true); });
  const std::size_t changes = fleet.replay(hour, length, kReplayStep);
  // Until the other regions have the last of the changes.
  sleep_for(kReplayStep);
  const FleetUsage cut = fleet.usage().since(before);

  EventMeasurement event(fleet, report, kRegion, {{"history", double(has_history)}});
  const Layout& layout = fleet.layout();
  const double gateways_cut = double(layout.gateways) / double(layout.regions);
  event.add_figure("cut.changes", double(changes), "servers");
  event.add_figure("cut.connections",
                   double(cut.discovery.connections) / cut.seconds() / gateways_cut,
                   "1/s/gateway cut");
  event.add_figure("cut.agents_cpu", double(cut.agents_cpu) / cut.seconds(), "us/s");
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
  report.note(
      kRegion,
      "an hour shortened " + std::to_string(int(region_compression(options))) +
          " times, with the target's changes of an hour in it; waits of the clients are not");
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
  event.add_figure("lost.gateways_cpu",
                   double(lost.gateways_cpu) / lost.seconds() / double(fleet.layout().gateways),
                   "us/s/gateway");
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
      {kRestarts, "a tenth of the gateways restart at once", memory_of, run_restarts});
  scenarios.push_back({kRack, "a rack is lost and back", memory_of, run_rack});
  scenarios.push_back({kZone, "a zone is lost and back", memory_of, run_zone});
  scenarios.push_back({kRegion, "a region is cut from discovery for a shortened hour and back",
                       memory_of, run_region});
  scenarios.push_back({kControl, "a control machine is lost and back", memory_of, run_control});
}

}  // namespace quota_gateway::scale
