// Slopes of a fleet: what watchers, changes, lists, calls, names and tenants cost on the wire, on
// the machines of the control tier and at a gateway, and how long a change takes to be in force.
#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "clocks.hpp"
#include "day.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fleet_scenario.hpp"
#include "net/counter/counter_client.hpp"
#include "process_resources.hpp"
#include "report.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {
namespace {

using At = std::map<std::string, double>;

constexpr double kMoments = 10;  // changes whose delays are taken

// ---- Watchers: heartbeats, one change to each, and how long it takes to be in force
// -----------------------
constexpr const char* kWatchers = "fleet.watchers";
std::size_t watchers_gateways(const Options& o) {
  return Sizes{o}.gateways(7'400, 40);
}
std::size_t watchers_servers(const Options& o) {
  return Sizes{o}.servers(200, 50);
}

void watchers_at(const Options& options, std::size_t gateways, Report& report) {
  const Target target;
  TestFleet::Options how = test_fleet_options(options, gateways, watchers_servers(options));
  const std::uint64_t before = allocated_bytes();
  TestFleet world(how);
  start_and_converge(world);
  const At at = {{"watchers", double(gateways)}};
  const auto tell = [&](const char* name, double value, const char* unit) {
    report.add({kWatchers, name, at, value, unit});
  };
  tell("memory_of_all", double(allocated_bytes() - before) / double(gateways) / 1e3, "KB/gateway");
  sleep_for(how.discovery.heartbeat_interval);
  // Quiet: nothing but heartbeats.
  auto from = world.usage();
  sleep_for(Sizes{options}.window(8, 0.6));
  const auto quiet = world.usage().since(from);
  const double seconds = quiet.seconds();
  tell("heartbeat_bytes", double(quiet.discovery.traffic.sent) / seconds / double(gateways),
       "bytes/s/watcher");
  tell("heartbeats", double(quiet.discovery.heartbeats) / seconds, "1/s");
  tell("agent_quiet", double(quiet.agents_cpu) / seconds, "us/s");
  tell("gateway_quiet", double(quiet.gateways_cpu) / seconds / double(gateways), "us/s/gateway");
  // One change at a time, each in force everywhere before the next.
  std::vector<double> medians;
  std::vector<double> lasts;
  from = world.usage();
  const Micros pause_between = Sizes{options}.window(0.2, 0.02);
  for (int i = 0; i < int(kMoments); ++i) {
    const auto entry = world.listed_server(std::size_t(i), Phase::kDraining);
    const Micros since = steady_now();
    const auto revision = world.publish({entry});
    const bool told =
        world.fleet().wait_until([&](const FleetState& s) { return s.least_revision >= revision; },
                                 Micros(target.in_force_s * 4e6));
    if (!told) {
      throw std::runtime_error("a change is not in force after four times the time allowed");
    }
    const Delays d = summarize_delays(world.fleet().delays(revision, since));
    medians.push_back(d.median / 1e3);
    lasts.push_back(d.max / 1e3);
    sleep_for(pause_between);
  }
  const auto spent = world.usage().since(from);
  tell("in_force_median", summarize_delays(medians).median, "ms");
  tell("in_force_last", summarize_delays(lasts).max, "ms");
  const double beats = quiet.discovery.heartbeats > 0 ? double(spent.discovery.heartbeats) : 0;
  const double beat_bytes = beats * 6;  // a heartbeat is 6 bytes, with its chunk
  tell("change_bytes",
       (double(spent.discovery.traffic.sent) - beat_bytes) / kMoments / double(gateways),
       "bytes/watcher");
  const double still = double(quiet.agents_cpu) / seconds * spent.seconds();
  tell("agent_change", std::max(0.0, double(spent.agents_cpu) - still) / kMoments, "us");
}

void watchers(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 180);
  for (const std::size_t n : doubling_sizes(watchers_gateways(options))) {
    if (until.expired(report, kWatchers, std::to_string(n) + " watchers")) {
      break;
    }
    watchers_at(options, n, report);
  }
  const Target target;
  const double all = double(target.gateways);
  const double part = all / double(target.control_machines);
  for (const char* name :
       {"heartbeats", "agent_quiet", "agent_change", "in_force_median", "in_force_last"}) {
    report.fit(kWatchers, name, "watchers", part);
    report.fit(kWatchers, name, "watchers", all);
  }
  for (const char* name : {"heartbeat_bytes", "change_bytes", "memory_of_all"}) {
    report.fit(kWatchers, name, "watchers", all);
  }
  if (options.small) {
    report.note(kWatchers, "small: a heartbeat each 0.2 s for the page's 2 s");
  }
}

// ---- Changes a second, as the target's day brings them
// ------------------------------------------------------
constexpr const char* kChanges = "fleet.changes";
std::size_t changes_gateways(const Options& o) {
  return Sizes{o}.gateways(285, 10);
}
std::size_t changes_servers(const Options& o) {
  return Sizes{o}.servers(1'000, 200);
}

void changes_at(const Options& options, double compression, Report& report) {
  const std::size_t gateways = changes_gateways(options);
  TestFleet world(test_fleet_options(options, gateways, changes_servers(options)));
  start_and_converge(world);
  DayOptions how;
  how.seed = options.seed;
  how.target_rate_fraction = 1;  // the whole target's rates, on fewer servers
  how.compression = compression;
  const Micros window = Sizes{options}.window(12, 0.7);
  how.hours = double(window) / 1e6 * compression / 3600 + 0.1;
  const auto day = draw_day(world.layout(), how);
  const auto from = world.usage();
  const std::size_t changes = world.replay(day, window);
  const bool right = world.wait_until_converged(kConvergenceTimeout);
  const auto spent = world.usage().since(from);
  const double seconds = spent.seconds();
  const At at = {{"changes_per_s", double(changes) / seconds}};
  report.add({kChanges, "bytes", at,
              double(spent.discovery.traffic.sent) / seconds / double(gateways),
              "bytes/s/watcher"});
  report.add({kChanges, "agent_cpu", at, double(spent.agents_cpu) / seconds, "us/s"});
  report.add({kChanges, "gateway_cpu", at, double(spent.gateways_cpu) / seconds / double(gateways),
              "us/s/gateway"});
  report.add({kChanges, "module_cpu", at, double(spent.module_cpu) / seconds / double(gateways),
              "us/s/gateway"});
  if (!right) {
    report.note(kChanges, "not all gateways were right a minute after the last change");
  }
}

void changes(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 120);
  for (const double compression : {1.0, 8.0, 32.0, 128.0}) {
    if (until.expired(report, kChanges,
                      std::to_string(int(compression)) + " times the day's pace")) {
      break;
    }
    changes_at(options, compression, report);
  }
  const Target t;
  const double mean =
      (3 * t.restarts_per_day + 2 * t.failures_per_day * kServersPerMachine) / 86'400;
  for (const char* name : {"bytes", "agent_cpu", "gateway_cpu", "module_cpu"}) {
    report.fit(kChanges, name, "changes_per_s", mean);
  }
  report.note(kChanges, "the target is the mean of the drawn day, " + std::to_string(mean) +
                            " changed servers a second; at " +
                            std::to_string(changes_gateways(options)) + " watchers and " +
                            std::to_string(changes_servers(options)) + " servers");
}

// ---- Whole lists
// ------------------------------------------------------------------------------------------
constexpr const char* kLists = "fleet.lists";
std::size_t lists_gateways(const Options& o) {
  return Sizes{o}.gateways(4, 4);
}
std::size_t lists_servers(const Options& o) {
  return Sizes{o}.servers(170'000, 1'700);
}

void lists_at(const Options& options, std::size_t servers, Micros bound, Report& report) {
  const std::size_t gateways = lists_gateways(options);
  const auto before = allocated_bytes();
  TestFleet world(test_fleet_options(options, gateways, servers));
  const auto agents = allocated_bytes();
  const auto from = world.usage();
  const Micros since = steady_now();
  world.start();
  const bool right = world.wait_until_converged(bound);
  const Micros took = steady_now() - since;
  const auto spent = world.usage().since(from);
  const At at = {{"servers", double(servers)}};
  const auto tell = [&](const char* name, double value, const char* unit) {
    report.add({kLists, name, at, value, unit});
  };
  // Apart: what was asked for again and again is on no line with what was taken.
  tell(right ? "bytes" : "bytes_in_vain",
       double(spent.discovery.traffic.sent) / double(gateways) / 1e3, "KB/watcher");
  tell(right ? "sent" : "sent_in_vain", double(spent.discovery.full_lists) / double(gateways),
       "lists/watcher");
  tell("agent_memory", double(agents - before) / 1e6, "MB");
  if (!right) {
    report.note(kLists, "a list of " + std::to_string(servers) +
                            " servers was not taken by all in " + std::to_string(took / 1'000'000) +
                            " s; its bytes are those of this time");
    return;
  }
  tell("until_right", double(took) / 1e3, "ms");
  tell("agent_cpu", double(spent.agents_cpu) / 1e3, "ms");
  tell("gateway_cpu", double(spent.gateways_cpu) / double(gateways) / 1e3, "ms/gateway");
  tell("module_cpu", double(spent.module_cpu) / double(gateways) / 1e3, "ms/gateway");
  tell("gateway_memory", double(allocated_bytes() - agents) / double(gateways) / 1e6, "MB/gateway");
}

void lists(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 120);
  const std::size_t largest = lists_servers(options);
  for (const std::size_t part : {1000, 100, 10, 3, 1}) {
    const std::size_t servers = std::max<std::size_t>(1, largest / part);
    if (until.expired(report, kLists, std::to_string(servers) + " servers")) {
      break;
    }
    lists_at(options, servers, std::min<Micros>(until.remaining(), 20'000'000), report);
  }
  for (const char* name :
       {"bytes", "until_right", "agent_cpu", "gateway_cpu", "module_cpu", "gateway_memory"}) {
    report.fit(kLists, name, "servers", double(Target{}.servers));
  }
}

// ---- Requests and calls to the counter
// ----------------------------------------------------------------------
constexpr const char* kCalls = "fleet.calls";
std::size_t calls_gateways(const Options& o) {
  return Sizes{o}.gateways(100, 10);
}
std::size_t calls_servers(const Options& o) {
  return Sizes{o}.servers(200, 50);
}

void calls(const Options& options, Report& report) {
  const Target target;
  const ScenarioDeadline until(options, 120);
  const double whole = target.requests_per_s / double(target.gateways);
  const std::size_t gateways = calls_gateways(options);
  TestFleet::Options how = test_fleet_options(options, gateways, calls_servers(options));
  how.with_counter = true;
  how.fleet.tenants_per_gateway =
      std::size_t(double(target.tenants) / double(target.gateways) * how.fleet.gateways_per_tenant);
  TestFleet world(how);
  start_and_converge(world);
  for (const double part : {0.125, 0.25, 0.5, 1.0}) {
    const double rate = whole * part;
    if (until.expired(report, kCalls, std::to_string(int(rate)) + " requests a second")) {
      break;
    }
    world.fleet().set_request_rate(rate);
    sleep_for(Sizes{options}.window(4, 0.2));
    const auto from = world.usage();
    const FleetState before = world.fleet().state();
    sleep_for(Sizes{options}.window(8, 0.5));
    const auto spent = world.usage().since(from);
    const FleetState after = world.fleet().state();
    const double seconds = spent.seconds();
    const double made = double(spent.counter.calls);
    const At at = {{"requests_per_s", rate}};
    const auto tell = [&](const char* name, double value, const char* unit) {
      report.add({kCalls, name, at, value, unit});
    };
    tell("requests", double(after.requests - before.requests) / seconds / double(gateways),
         "1/s/gateway");
    tell("calls", made / seconds / double(gateways), "1/s/gateway");
    const double bytes = double(spent.counter.traffic.sent + spent.counter.traffic.received);
    tell("call_bytes", made > 0 ? bytes / made : 0, "bytes/call");
    tell("bytes", bytes / seconds / double(gateways), "bytes/s/gateway");
    tell("counter_cpu", made > 0 ? double(spent.counter_cpu) / made : 0, "us/call");
    tell("gateway_cpu", double(spent.gateways_cpu) / seconds / double(gateways), "us/s/gateway");
    tell("module_cpu", double(spent.module_cpu) / seconds / double(gateways), "us/s/gateway");
    tell("refused", double(after.rejected - before.rejected) / seconds / double(gateways),
         "1/s/gateway");
  }
  for (const char* name : {"calls", "bytes", "gateway_cpu", "module_cpu"}) {
    report.fit(kCalls, name, "requests_per_s", whole);
  }
}

// ---- Names at the counter
// -------------------------------------------------------------------------------------
constexpr const char* kNames = "fleet.names";
std::size_t most_names(const Options& o) {
  return o.small ? 8'000 : Target{}.tenants;
}

// Calls as fast as answers come, so many at a time, each name once.
class CounterCaller {
 public:
  CounterCaller(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint to)
      : timers_(io, clock_),
        counter_(
            std::make_shared<net::CounterClient>(io, timers_, clock_, to, 20'000'000, 5'000'000,
                                                 [this](const CounterReply& a) { answered(a); })) {
    counter_->start();
  }
  void run(std::int64_t first, std::int64_t end) {
    next_ = first, end_ = end, done_ = 0, failed_ = 0;
    constexpr int kOut = 500;
    for (int i = 0; i < kOut; ++i) {
      one();
    }
  }
  std::int64_t done() const { return done_; }
  std::int64_t failed() const { return failed_; }

 private:
  void one() {
    if (next_ < end_) {
      counter_->add({next_++, 1, 60'000'000});
    }
  }
  void answered(const CounterReply& a) {
    ++done_;
    failed_ += a.outcome != CounterOutcome::kOk;
    one();
  }
  net::Clock clock_;
  net::Timers timers_;
  std::shared_ptr<net::CounterClient> counter_;
  std::int64_t next_ = 0, end_ = 0, done_ = 0, failed_ = 0;
};

void names(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 60);
  EventLoopThread tier;
  EventLoopThread source;
  auto& counter = tier.emplace<FakeCounter>(FakeCounter::Options{});
  auto& caller = source.emplace<CounterCaller>(counter.address());
  const auto wait_for = [&](std::int64_t calls) {
    while (source.run([&] { return caller.done(); }) < calls) {
      if (until.remaining() == 0) {
        return false;
      }
      sleep_for(2'000);
    }
    return true;
  };
  source.run([&] { caller.run(0, 1); });  // the connection is up
  wait_for(1);
  const auto empty = allocated_bytes();
  const std::size_t largest = most_names(options);
  std::int64_t first = 1;
  for (const std::size_t part : {64, 16, 4, 1}) {
    const auto end = std::int64_t(largest / part);
    const Micros before = tier.cpu_time();
    source.run([&] { caller.run(first, end); });
    if (!wait_for(end - first)) {
      return report.note(kNames, "out of time at " + std::to_string(end) + " names");
    }
    const auto counts = tier.run([&] { return counter.counts(); });
    const At at = {{"names", double(counts.names)}};
    report.add({kNames, "counter_cpu", at, double(tier.cpu_time() - before) / double(end - first),
                "us/call"});
    report.add({kNames, "counter_memory", at, double(allocated_bytes() - empty) / 1e6, "MB"});
    if (const auto failed = source.run([&] { return caller.failed(); }); failed > 0) {
      report.note(kNames, std::to_string(failed) + " calls failed");
    }
    first = end;
  }
  report.fit(kNames, "counter_cpu", "names", double(Target{}.tenants));
  report.fit(kNames, "counter_memory", "names", double(Target{}.tenants));
}

// ---- Tenants met at a gateway
// ------------------------------------------------------------------------------------
constexpr const char* kTenants = "fleet.tenants";
constexpr std::size_t kTenantGateways = 4;
std::size_t most_tenants(const Options& o) {
  return o.small ? 800 : 16'000;
}
std::size_t tenants_servers(const Options& o) {
  return Sizes{o}.servers(200, 50);
}

void tenants_at(const Options& options, std::size_t tenants, Report& report) {
  const Target target;
  TestFleet::Options how = test_fleet_options(options, kTenantGateways, tenants_servers(options));
  how.with_counter = true;
  how.fleet.tenants_per_gateway = tenants;
  TestFleet world(how);
  start_and_converge(world);
  const auto before = allocated_bytes();
  // Meets each of them once, faster than it would at the target.
  constexpr double kMeet = 2'000;  // requests a second
  world.fleet().set_request_rate(kMeet);
  const auto met = std::uint64_t(tenants * kTenantGateways * 1.1);
  if (!world.fleet().wait_until([&](const FleetState& s) { return s.requests >= met; },
                                kConvergenceTimeout)) {
    throw std::runtime_error("requests come too slowly");
  }
  world.fleet().set_request_rate(target.requests_per_s / double(target.gateways));
  sleep_for(Sizes{options}.window(3, 0.3));  // what the fast ones left is over
  const auto from = world.usage();
  sleep_for(Sizes{options}.window(6, 0.5));
  const auto spent = world.usage().since(from);
  const At at = {{"tenants", double(tenants)}};
  report.add({kTenants, "memory", at,
              double(allocated_bytes() - before) / double(kTenantGateways) / 1e3, "KB/gateway"});
  const double gateway_seconds = spent.seconds() * double(kTenantGateways);
  report.add(
      {kTenants, "gateway_cpu", at, double(spent.gateways_cpu) / gateway_seconds, "us/s/gateway"});
  report.add(
      {kTenants, "module_cpu", at, double(spent.module_cpu) / gateway_seconds, "us/s/gateway"});
  report.add({kTenants, "calls", at, double(spent.counter.calls) / gateway_seconds, "1/s/gateway"});
}

void tenants(const Options& options, Report& report) {
  const ScenarioDeadline until(options, 120);
  for (const std::size_t part : {64, 16, 4, 1}) {
    const std::size_t n = most_tenants(options) / part;
    if (until.expired(report, kTenants, std::to_string(n) + " tenants")) {
      break;
    }
    tenants_at(options, n, report);
  }
  const Target t;
  const double met = double(t.tenants) / double(t.gateways) * FleetOptions{}.gateways_per_tenant;
  for (const char* name : {"memory", "gateway_cpu", "module_cpu", "calls"}) {
    report.fit(kTenants, name, "tenants", met);
  }
  report.note(kTenants, "the target is a gateway's tenants where each comes through " +
                            std::to_string(FleetOptions{}.gateways_per_tenant) +
                            " gateways: assumed; calls still carry how fast they were met");
}

}  // namespace

void add_fleet_slopes(std::vector<Scenario>& scenarios) {
  scenarios.push_back(
      {kWatchers, "heartbeats, a change to each watcher, and how long until it is in force",
       [](const Options& o) {
         const std::size_t n = watchers_gateways(o);
         return require_descriptors(fleet_memory(double(n), double(watchers_servers(o))), n, false);
       },
       watchers});
  scenarios.push_back(
      {kChanges, "the target's day at several paces: bytes, agent and gateway by changes a second",
       [](const Options& o) {
         const std::size_t n = changes_gateways(o);
         return require_descriptors(fleet_memory(double(n), double(changes_servers(o))), n, false);
       },
       changes});
  scenarios.push_back({kLists, "a whole list to each of a few gateways, by listed servers",
                       [](const Options& o) {
                         const std::size_t n = lists_gateways(o);
                         return require_descriptors(
                             fleet_memory(double(n), double(lists_servers(o))), n, false);
                       },
                       lists});
  scenarios.push_back({kCalls,
                       "requests a second at each gateway: calls, their bytes, counter and gateway",
                       [](const Options& o) {
                         const std::size_t n = calls_gateways(o);
                         return require_descriptors(
                             fleet_memory(double(n), double(calls_servers(o)), 600), n, true);
                       },
                       calls});
  scenarios.push_back(
      {kNames, "the counter by live names",
       [](const Options& o) { return std::uint64_t(double(most_names(o)) * 400 + 20e6); }, names});
  scenarios.push_back({kTenants, "memory and processor time of a hollow gateway by tenants met",
                       [](const Options& o) {
                         return fleet_memory(double(kTenantGateways), double(tenants_servers(o)),
                                             double(most_tenants(o)));
                       },
                       tenants});
}

}  // namespace quota_gateway::scale
