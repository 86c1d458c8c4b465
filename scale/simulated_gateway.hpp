// Hollow gateways: the real decision module and the real clients of discovery and of the counter,
// many in a process, without sockets to clients and servers: a synthetic source asks, and attempts
// end by a timer.
#pragma once

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <streambuf>
#include <string>
#include <vector>

#include "clocks.hpp"
#include "day.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "net/discovery/discovery_client.hpp"
#include "process_resources.hpp"
#include "quota_gateway/gateway.hpp"
#include "report.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

struct FleetOptions {
  std::size_t gateways = 20;
  std::size_t groups = 10;  // each on a thread of its own, and restarted as one
  std::vector<boost::asio::ip::tcp::endpoint> agents;  // gateway i asks agents[i % size]
  std::optional<boost::asio::ip::tcp::endpoint> counter;
  Settings settings = fleet_settings();  // `gateways` and `position` are filled in
  std::size_t servers = 0;               // listed, at most
  double requests_per_s = 0;             // at each gateway
  std::size_t tenants_per_gateway =
      100;                      // whose requests come to one gateway, a few of them most of all
  int gateways_per_tenant = 3;  // gateways of a tenant's set
  Micros service = 5'000;       // us from an attempt to its answer
  std::uint64_t seed = 1;
  std::shared_ptr<const net::EndpointList> known =
      nullptr;  // that a gateway starts with; null: none

  static Settings fleet_settings();
};

// Of all gateways together, unless it says otherwise.
struct FleetState {
  std::size_t with_list = 0;     // gateways that know a server that is up
  std::size_t right = 0;         // that know exactly the servers that are up (see expect)
  std::size_t were_without = 0;  // that had a list and then, for a while, none
  std::int64_t least_revision = 0;
  Micros longest_first_list = 0;  // us from a gateway's start until it knew a server
  Micros last_right_at = 0;       // steady_now() when the last of the right ones became so
  std::uint64_t requests = 0, attempts = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t calls = 0, calls_not_added = 0, calls_unknown = 0;
  std::uint64_t lists = 0, changes = 0;  // told by agents: whole ones, and others
  Micros cpu = 0;         // us of all groups' threads, also of those that were restarted
  Micros module_cpu = 0;  // of that, within the decision module
};

class SimulatedGateway;

// What the groups do on their own loops. Public for EventLoopThread alone.
class SimulatedGatewayGroup {
 public:
  SimulatedGatewayGroup(boost::asio::io_context& io, const FleetOptions& options, std::size_t first,
                        std::size_t count);
  ~SimulatedGatewayGroup();
  void add_to(FleetState& state) const;
  void set_request_rate(double requests_per_s);
  void expect(std::shared_ptr<const std::vector<bool>> up);
  // us from `since` until each gateway was at `revision` or past it; of those that are.
  void add_delays(std::int64_t revision, Micros since, std::vector<double>& to) const;

 private:
  std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
};

class SimulatedFleet {
 public:
  // Throws std::runtime_error if the process may not have so many descriptors.
  explicit SimulatedFleet(FleetOptions options);
  ~SimulatedFleet();
  // The gateways of these groups die and at once start anew, with the list that they were given.
  void restart(std::size_t group);
  std::size_t groups() const { return machines_.size(); }
  void set_request_rate(double requests_per_s);
  // The servers that are up by the agents' list; from now on gateways tell when they first know
  // just these.
  void expect(const std::vector<ListedServer>& servers);
  FleetState state() const;
  FleetState state_of(std::size_t group) const;  // as it is now, without those that were restarted
  // Looks until it holds of the state, for `bound` at most; false if it never did.
  bool wait_until(const std::function<bool(const FleetState&)>& holds, Micros bound) const;
  std::vector<double> delays(std::int64_t revision, Micros since) const;

 private:
  struct Group {
    std::unique_ptr<EventLoopThread> machine;
    SimulatedGatewayGroup* gateways = nullptr;
    std::size_t first = 0, count = 0;
  };
  void begin(Group& group);

  FleetOptions options_;
  std::shared_ptr<const std::vector<bool>> expected_;
  std::vector<Group> machines_;
  FleetState ended_;  // figures of those that were restarted
};

// Of delays in us: the middle one, and the last.
struct Delays {
  double median = 0, max = 0;
};
Delays summarize_delays(std::vector<double> samples);

// Sizes for a slope: what one of 26 control machines has of the largest, an eighth, a quarter, half
// and all.
std::vector<std::size_t> doubling_sizes(std::size_t largest);

// Descriptors that a fleet takes, and the other ends of its connections with it.
std::size_t descriptors_of(const FleetOptions& options);

// While it lives, what the clients write to the log is counted instead: thousands of gateways in
// one process would all write to one. Made before the threads that log, ended after them.
class CountedLog : private std::streambuf {
 public:
  CountedLog();
  ~CountedLog() override;
  std::uint64_t lines() const { return lines_; }

 private:
  int overflow(int c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  std::streambuf* const was_;
  std::atomic<std::uint64_t> lines_{0};
};

// A fleet with all that it needs: agents that are told the same, each on a machine of its own, a
// counter.
class TestFleet {
 public:
  struct Options {
    Layout layout = {};
    std::size_t agents = 1;
    bool with_counter = false;
    bool known = false;  // gateways start with the list as it is at the beginning
    FakeDiscovery::Options discovery = {};
    FakeCounter::Options counter = {};
    FleetOptions fleet = {};  // its agents, counter, sizes and list are filled in
  };
  // What the control machines have spent and carried so far, or between two such moments.
  struct Usage {
    Micros at = 0, agents_cpu = 0, counter_cpu = 0, gateways_cpu = 0, module_cpu = 0;
    FakeDiscovery::Counts discovery;  // of all agents
    FakeCounter::Counts counter;
    double seconds() const { return double(at) / 1e6; }
    Usage since(const Usage& before) const;
  };

  // Without gateways until start().
  explicit TestFleet(Options options);
  void start();
  const Layout& layout() const { return options_.layout; }
  SimulatedFleet& fleet() { return *fleet_; }
  FakeDiscovery& agent(std::size_t i) { return *agents_.at(i).second; }
  std::size_t agents() const { return agents_.size(); }
  // On the machine of that agent.
  template <typename What>
  decltype(auto) at_agent(std::size_t i, What what) {
    return agents_.at(i).first->run([&] { return what(*agents_[i].second); });
  }
  // From now on gateways tell when they first know just the servers that are up.
  void expect() { fleet_->expect(servers_); }
  // Tells all agents. Returns the revision. Where it matters when all are right, `expected` has it
  // expected first.
  std::int64_t publish(const std::vector<ListedServer>& entries, bool expected = false);
  // The server as it is listed, in that phase; up: started just now.
  ListedServer listed_server(std::size_t server, Phase phase) const;
  // All of one rack, zone or whatever `in` picks.
  std::vector<ListedServer> listed_servers(Phase phase,
                                           const std::function<bool(std::size_t)>& in) const;
  // Carries out what happens to servers in so many us of the day from its beginning, at its own
  // times; with a `step`, what falls into one such time is told as one change at its end. Returns
  // how many servers changed.
  std::size_t replay(const std::vector<Disturbance>& day, Micros length, Micros step = 0);
  // Waits, `bound` at most, until all gateways know just the servers that are up.
  bool wait_until_converged(Micros bound);
  Usage usage();
  // That the clients wrote.
  std::uint64_t log_lines() const { return log_.lines(); }

 private:
  CountedLog log_;
  Options options_;
  std::vector<ListedServer> servers_;
  std::vector<std::pair<std::unique_ptr<EventLoopThread>, FakeDiscovery*>> agents_;
  std::unique_ptr<EventLoopThread> counting_;
  FakeCounter* counter_ = nullptr;
  std::unique_ptr<SimulatedFleet> fleet_;  // ends first
};

// ---- What the scenarios of a fleet share
// ----------------------------------------------------------------
constexpr Micros kConvergenceTimeout = 60'000'000;  // us until a fleet has its list, at the most

// Sizes as they are given, or the scenario's own.
struct Sizes {
  const Options& options;
  std::size_t gateways(std::size_t whole, std::size_t small) const {
    return pick(options.gateways, whole, small);
  }
  std::size_t servers(std::size_t whole, std::size_t small) const {
    return pick(options.servers, whole, small);
  }
  Micros window(double whole_s, double small_s) const {
    return Micros((options.small ? small_s : whole_s) * 1e6);
  }

 private:
  std::size_t pick(std::size_t given, std::size_t whole, std::size_t small) const {
    return given > 0 ? given : options.small ? small : whole;
  }
};

// The wall clock's end of a scenario; what would begin after it is left out and named.
class ScenarioDeadline {
 public:
  ScenarioDeadline(const Options& options, double own_s)
      : at_(steady_now() + Micros(1e6 * (options.seconds > 0 ? options.seconds : own_s))) {}
  bool expired(Report& report, const std::string& scenario, const std::string& what) const;
  Micros remaining() const { return std::max<Micros>(0, at_ - steady_now()); }

 private:
  const Micros at_;
};

void sleep_for(Micros time);
// Bytes that a world takes, by what was measured, rounded up.
std::uint64_t fleet_memory(double gateways, double servers, double tenants = 0, double agents = 1);
// Hands `memory` back. Throws std::invalid_argument if a process may not have the descriptors for
// the fleet.
std::uint64_t require_descriptors(std::uint64_t memory, std::size_t gateways, bool counter);
TestFleet::Options test_fleet_options(const Options& options, std::size_t gateways,
                                      std::size_t servers);
// Throws std::runtime_error if the gateways have no list in time.
void start_and_converge(TestFleet& world);

// The list as the agents would tell it, for gateways that start with one.
std::shared_ptr<const net::EndpointList> known_list(const std::vector<ListedServer>& servers,
                                                    std::int64_t revision);

}  // namespace quota_gateway::scale
