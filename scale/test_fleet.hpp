// A fleet of simulated gateways with its control servers: discovery agents that all publish the
// same, each on a thread of its own, and a counter. Owned by a scenario or a test, whose thread
// makes all calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "disruptions.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "fleet_options.hpp"
#include "fleet_usage.hpp"
#include "layout.hpp"
#include "listed_server.hpp"
#include "log_line_counter.hpp"
#include "net/discovery/endpoint_list.hpp"
#include "quota_gateway/gateway.hpp"
#include "simulated_fleet.hpp"

namespace quota_gateway::scale {

class TestFleet {
 public:
  struct Options {
    Layout layout = {};
    std::size_t agents = 1;
    bool with_counter = false;
    // Gateways start with the list as it is at the beginning.
    bool with_persisted_list = false;
    // Without servers, which follow from the layout.
    FakeDiscovery::Options discovery = {};
    FakeCounter::Options counter = {};
    // Without agents, counter, sizes and persisted list, which follow from the rest.
    FleetOptions fleet = {};
  };

  // Starts the agents and the counter. Throws std::invalid_argument if an address is not on
  // loopback.
  explicit TestFleet(Options options);
  // Starts the gateways. Throws std::runtime_error if the process may not have the descriptors.
  void start();

  const Layout& layout() const { return options_.layout; }
  // Only after start().
  SimulatedFleet& fleet() { return *fleet_; }
  // Calls the function with an agent, on the agent's event loop, and returns what it returns.
  template <typename Function>
  decltype(auto) with_agent(std::size_t agent, Function function) {
    Agent& selected = agents_.at(agent);
    return selected.thread->run([&] { return function(*selected.discovery); });
  }

  // See SimulatedFleet::expect(); of the list as it was last published.
  void expect() { fleet_->expect(servers_); }
  // Publishes one change at all agents and returns its revision.
  std::int64_t publish(const std::vector<ListedServer>& entries);
  // The same, but calls expect() just before, so that no gateway converges unseen.
  std::int64_t publish_and_expect(const std::vector<ListedServer>& entries);
  // The server as it is listed but in that phase; up: started just now.
  ListedServer listed_server(std::size_t server, Phase phase) const;
  // The servers that the predicate selects.
  std::vector<ListedServer> listed_servers(
      Phase phase, const std::function<bool(std::size_t server)>& predicate) const;
  // Publishes what happens to servers in the first `length` microseconds of the day, each change at
  // its own time. With a step, all that falls into one step is one change at the step's end.
  // Returns how many servers changed.
  std::size_t replay(const std::vector<Disruption>& day, Micros length,
                     std::optional<Micros> step = std::nullopt);
  // Calls expect() and waits until all gateways have converged; false if they have not in time.
  bool wait_until_converged(Micros timeout);

  FleetUsage usage();
  // That the clients have logged.
  std::uint64_t log_lines() const { return log_.lines(); }

 private:
  struct Agent {
    std::unique_ptr<EventLoopThread> thread;
    // On the thread.
    FakeDiscovery* discovery = nullptr;
  };

  void start_agents();
  void start_counter();

  LogLineCounter log_;
  Options options_;
  std::vector<ListedServer> servers_;
  std::vector<Agent> agents_;
  // Null without a counter, as is counter_, which is on the thread.
  std::unique_ptr<EventLoopThread> counter_thread_;
  FakeCounter* counter_ = nullptr;
  // The last member: gateways end before the servers that they are connected to. Null before
  // start().
  std::unique_ptr<SimulatedFleet> fleet_;
};

// The list as agents would publish it, for gateways that start with one.
std::shared_ptr<const net::EndpointList> make_endpoint_list(
    const std::vector<ListedServer>& servers, std::int64_t revision);

}  // namespace quota_gateway::scale
