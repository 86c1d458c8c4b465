// What happens to a fleet: gateways restart together, a rack, a zone, a region and a control
// machine are lost and are back. Told of each: bytes, processor time, memory, how long until all
// are right, whether a gateway was without a list meanwhile, and how steep the asking is.
#include <algorithm>
#include <functional>
#include <stdexcept>

#include "day.hpp"
#include "report.hpp"
#include "scenario.hpp"
#include "simulated_gateway.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kRightWithin = 30'000'000;  // us that an event may take at the most
constexpr double kRequests =
    2;  // a second at each gateway meanwhile; what is served shows it works
constexpr double kSpreadS =
    10;  // s over which the mean of asks is taken, or as long as the event lasts
constexpr std::size_t kGroups = 10;  // gateways that restart together are one of them

std::size_t gateways_of(const Options& o) {
  return Sizes{o}.gateways(7'400, 30);
}
std::size_t servers_of(const Options& o) {
  return Sizes{o}.servers(1'700, 700);
}

std::uint64_t memory_of(const Options& o) {
  const std::size_t gateways = gateways_of(o);
  return require_descriptors(fleet_memory(double(gateways), double(servers_of(o)), 100, 3),
                             gateways, false);
}

// An agent for each region, and gateways that start with a list.
TestFleet::Options event_world(const Options& options, bool known = true) {
  TestFleet::Options how = test_fleet_options(options, gateways_of(options), servers_of(options));
  how.agents = how.layout.regions;
  how.known = known;
  how.fleet.groups = kGroups;
  how.fleet.requests_per_s = kRequests;
  return how;
}

// From just before an event until all gateways are right.
class Event {
 public:
  Event(TestFleet& world, Report& report, std::string scenario, std::map<std::string, double> at)
      : world_(world),
        report_(report),
        scenario_(std::move(scenario)),
        at_(std::move(at)),
        before_(world.usage()),
        fleet_before_(world.fleet().state()),
        memory_(allocated_bytes()),
        peak_(memory_),
        since_(steady_now()) {
    at_["gateways"] = double(world.layout().gateways);
  }

  // Waits until all are right and tells what it took. False if they are not in time.
  bool settle(const std::string& name) {
    const std::size_t all = world_.layout().gateways;
    std::size_t least = all;
    FleetState last;
    const bool right = world_.fleet().wait_until(
        [&](const FleetState& s) {
          peak_ = std::max(peak_, allocated_bytes());
          least = std::min(least, s.with_list);
          last = s;
          return s.right == all;
        },
        kRightWithin);
    const auto spent = world_.usage().since(before_);
    const double gateways = double(all);
    if (right) {
      tell(name + ".until_right", double(std::max<Micros>(0, last.last_right_at - since_)) / 1e3,
           "ms");
    } else {
      report_.note(scenario_, name + ": only " + std::to_string(last.right) + " of " +
                                  std::to_string(all) + " gateways right after " +
                                  std::to_string(kRightWithin / 1'000'000) + " s");
    }
    tell(name + ".bytes", double(spent.discovery.traffic.sent) / gateways, "bytes/gateway");
    tell(name + ".agents_cpu", double(spent.agents_cpu) / 1e3, "ms");
    tell(name + ".gateways_cpu", double(spent.gateways_cpu) / gateways / 1e3, "ms/gateway");
    tell(name + ".module_cpu", double(spent.module_cpu) / gateways / 1e3, "ms/gateway");
    tell(name + ".memory_more", (double(peak_) - double(memory_)) / 1e6, "MB");
    tell(name + ".whole_lists", double(spent.discovery.full_lists), "lists");
    if (spent.discovery.full_lists > all) {
      report_.note(scenario_,
                   name +
                       ": more whole lists than gateways: hollow gateways share a processor, and "
                       "a list that does not come in its time is asked for again");
    }
    tell(name + ".differences", double(spent.discovery.partial_lists), "lists");
    // Since the world began; those that restart are not among them, but are without one until they
    // have it.
    tell(name + ".were_without_list", double(last.were_without), "gateways");
    tell(name + ".least_with_list", double(least), "gateways");
    tell(name + ".failed", double(last.failed - fleet_before_.failed), "requests");
    tell(name + ".log_lines", double(world_.log_lines()) / gateways, "lines/gateway");
    asks(name, spent);
    return right;
  }
  void tell(const std::string& name, double value, const std::string& unit) {
    report_.add({scenario_, name, at_, value, unit});
  }

 private:
  void asks(const std::string& name, const TestFleet::Usage& spent) {
    double highest = 0;
    double sum = 0;
    const Micros first = since_ / 1'000'000;
    for (auto it = spent.discovery.requests_by_second.lower_bound(first);
         it != spent.discovery.requests_by_second.end(); ++it) {
      // What was asked in that second before the event is not its doing.
      const auto was = before_.discovery.requests_by_second.find(it->first);
      const double count = double(it->second) -
                           (was == before_.discovery.requests_by_second.end() ? 0 : was->second);
      highest = std::max(highest, count);
      sum += count;
    }
    tell(name + ".asks", sum, "asks");
    if (sum == 0) {
      return;
    }
    tell(name + ".asks_highest_second", highest, "asks");
    tell(name + ".asks_highest_over_mean", highest / (sum / std::max(kSpreadS, spent.seconds())),
         "times");
  }

  TestFleet& world_;
  Report& report_;
  const std::string scenario_;
  std::map<std::string, double> at_;
  const TestFleet::Usage before_;
  const FleetState fleet_before_;
  const std::uint64_t memory_;
  std::uint64_t peak_;
  const Micros since_;
};

// A few servers drain, so that there is a difference to tell.
void stir(TestFleet& world, std::size_t servers) {
  for (std::size_t i = 0; i < servers; ++i) {
    world.publish({world.listed_server(i, Phase::kDraining)});
  }
}

// ---- A tenth of the gateways restart at once
// ----------------------------------------------------------------
constexpr const char* kRestarts = "events.restarts";
void restarts(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 120);
  for (const bool known : {true, false}) {
    if (until.expired(report, kRestarts, known ? "a known list" : "no list")) {
      return;
    }
    TestFleet world(event_world(options, known));
    start_and_converge(world);
    stir(world, 10);
    if (!world.wait_until_converged(kConvergenceTimeout)) {
      throw std::runtime_error("a change is not taken");
    }
    Event event(world, report, kRestarts, {{"known_list", double(known)}});
    world.fleet().restart(kGroups / 2);
    event.settle("restarted");
    event.tell("restarted.longest_without_list",
               double(world.fleet().state_of(kGroups / 2).longest_first_list) / 1e3, "ms");
  }
}

// ---- A rack, a zone: lost and back
// ----------------------------------------------------------------------------
void lost_and_back(const Options& options, Report& report, const char* scenario,
                   const std::function<bool(const Layout&, std::size_t)>& in) {
  TestFleet world(event_world(options));
  start_and_converge(world);
  const auto of = [&](Phase phase) {
    return world.listed_servers(phase,
                                [&](std::size_t server) { return in(world.layout(), server); });
  };
  const auto servers = of(Phase::kRemoved);
  for (const Phase phase : {Phase::kRemoved, Phase::kUp}) {
    Event event(world, report, scenario, {{"changed", double(servers.size())}});
    world.publish(of(phase), true);
    event.settle(phase == Phase::kRemoved ? "lost" : "back");
  }
}

constexpr const char* kRack = "events.rack";
void rack(const Options& options, Report& report) {
  lost_and_back(options, report, kRack,
                [](const Layout& l, std::size_t s) { return l.rack(s) == 1; });
}
constexpr const char* kZone = "events.zone";
void zone(const Options& options, Report& report) {
  lost_and_back(options, report, kZone,
                [](const Layout& l, std::size_t s) { return l.zone(s) == 1; });
}

// ---- A region cut from discovery for an hour of the bench's clock
// --------------------------------------------
constexpr const char* kRegion = "events.region";
// Danger: told one by one, an hour's changes in seconds keep gateways busier than any day does, and
// all that is measured is their backlog.
constexpr Micros kStep = 500'000;  // us of changes that are told as one
void region(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 180);
  const double factor = options.small ? 900 : 120;  // so many times shorter than an hour
  for (const bool history : {true, false}) {
    if (until.expired(report, kRegion, history ? "history" : "lost history")) {
      return;
    }
    TestFleet world(event_world(options));
    start_and_converge(world);
    DayOptions how;
    how.seed = options.seed;
    how.hours = 1;
    how.target_rate_fraction = 1;  // as many changes as the target has in an hour
    how.compression = factor;
    const auto day = draw_day(world.layout(), how);
    constexpr std::size_t kCut = 1;
    const std::map<std::string, double> at = {{"history", double(history)}};
    const auto before = world.usage();
    world.at_agent(kCut, [](FakeDiscovery& agent) { agent.set_silent(true); });
    const auto changes = world.replay(day, Micros(kRegionCutS * 1e6 / factor), kStep);
    sleep_for(kStep);  // the others have the last of it
    const auto cut = world.usage().since(before);
    {
      Event event(world, report, kRegion, at);
      const double theirs = double(world.layout().gateways) / double(world.layout().regions);
      event.tell("cut.changes", double(changes), "servers");
      event.tell("cut.connections", double(cut.discovery.connections) / cut.seconds() / theirs,
                 "1/s/gateway cut");
      event.tell("cut.agents_cpu", double(cut.agents_cpu) / cut.seconds(), "us/s");
      world.expect();
      world.at_agent(kCut, [history](FakeDiscovery& agent) {
        if (!history) {
          agent.forget_history();
        }
        agent.set_silent(false);
      });
      event.settle("back");
    }
  }
  report.note(
      kRegion,
      "an hour shortened " + std::to_string(int(factor)) +
          " times, with the target's changes of an hour in it; waits of the clients are not");
}

// ---- A control machine lost and back
// ----------------------------------------------------------------------------
constexpr const char* kControl = "events.control";
void control(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 120);
  for (const bool history : {true, false}) {
    if (until.expired(report, kControl, history ? "history" : "lost history")) {
      return;
    }
    TestFleet world(event_world(options));
    start_and_converge(world);
    constexpr std::size_t kLost = 2;
    const auto before = world.usage();
    world.at_agent(kLost, [](FakeDiscovery& agent) { agent.stop(); });
    const std::size_t stirred = 20;
    stir(world, stirred);
    sleep_for(Sizes{options}.window(10, 0.5));
    const auto lost = world.usage().since(before);
    Event event(world, report, kControl, {{"history", double(history)}});
    event.tell("lost.gateways_cpu",
               double(lost.gateways_cpu) / lost.seconds() / double(world.layout().gateways),
               "us/s/gateway");
    world.expect();
    world.at_agent(kLost, [history](FakeDiscovery& agent) {
      if (!history) {
        agent.forget_history();
      }
      agent.start();
    });
    event.settle("back");
  }
}

}  // namespace

void add_events(std::vector<Scenario>& to) {
  to.push_back({kRestarts, "a tenth of the gateways restart at once", memory_of, restarts});
  to.push_back({kRack, "a rack is lost and back", memory_of, rack});
  to.push_back({kZone, "a zone is lost and back", memory_of, zone});
  to.push_back(
      {kRegion, "a region is cut from discovery for a shortened hour and back", memory_of, region});
  to.push_back({kControl, "a control machine is lost and back", memory_of, control});
}

}  // namespace quota_gateway::scale
