// A fleet of simulated gateways with its control servers: discovery agents that all publish the
// same list, each on its own thread, and optionally a counter. Owned by a scenario or a test, which
// makes all calls from its thread.
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

// Starts the control servers and the gateways, publishes changes and measures usage.
class TestFleet {
 public:
  struct Options {
    Layout layout = {};
    std::size_t agents = 1;
    bool with_counter = false;
    // Gateways start with the initial list as their persisted list.
    bool with_persisted_list = false;
    // Without the servers, which are derived from the layout.
    FakeDiscovery::Options discovery = {};
    FakeCounter::Options counter = {};
    // Without the agents, the counter, the sizes and the persisted list, which are derived from the
    // other options.
    FleetOptions fleet = {};
  };

  // Starts the agents and the counter. Throws std::invalid_argument if an address is not a loopback
  // address.
  explicit TestFleet(Options options);
  // Starts the gateways. Throws std::runtime_error if the process cannot have enough descriptors.
  void start();

  const Layout& layout() const { return options_.layout; }
  // Must not be called before start().
  SimulatedFleet& fleet() { return *fleet_; }
  // Calls the function with an agent, on the agent's event loop, and returns its result.
  template <typename Function>
  decltype(auto) with_agent(std::size_t agent, Function function) {
    Agent& selected = agents_.at(agent);
    return selected.thread->run([&] { return function(*selected.discovery); });
  }

  // Calls SimulatedFleet::expect() with the list as it was last published.
  void expect() { fleet_->expect(servers_); }
  // Publishes one change at all agents and returns its revision.
  std::int64_t publish(const std::vector<ListedServer>& entries);
  // Like publish(), but calls expect() directly before, so that no gateway applies the change
  // before the measurement of its convergence begins.
  std::int64_t publish_and_expect(const std::vector<ListedServer>& entries);
  // Returns the entry of the server in the given phase; a server that is up counts as started now.
  ListedServer listed_server(std::size_t server, Phase phase) const;
  // Returns the entries, in the given phase, of the servers that the predicate selects.
  std::vector<ListedServer> listed_servers(
      Phase phase, const std::function<bool(std::size_t server)>& predicate) const;
  // Publishes the server changes in the first `length` microseconds of the disruptions, each at its
  // own time. With a step, all changes within one step are published as one change at the end of
  // the step. Returns the number of changed servers.
  std::size_t replay(const std::vector<Disruption>& disruptions, Micros length,
                     std::optional<Micros> step = std::nullopt);
  // Calls expect() and waits until all gateways have converged. Returns false if they have not
  // within `timeout`.
  bool wait_until_converged(Micros timeout);

  FleetUsage usage();
  // Returns the number of lines that the clients have logged.
  std::uint64_t log_lines() const { return log_.lines(); }

 private:
  struct Agent {
    std::unique_ptr<EventLoopThread> thread;
    // Lives on the thread's event loop.
    FakeDiscovery* discovery = nullptr;
  };

  void start_agents();
  void start_counter();

  LogLineCounter log_;
  Options options_;
  std::vector<ListedServer> servers_;
  std::vector<Agent> agents_;
  // Null without a counter. The same holds for counter_, which lives on the thread's event loop.
  std::unique_ptr<EventLoopThread> counter_thread_;
  FakeCounter* counter_ = nullptr;
  // Declared last, so that gateways are destroyed before the servers to which they are connected.
  // Null before start().
  std::unique_ptr<SimulatedFleet> fleet_;
};

// Returns the list as an agent would publish it, for use as a persisted list.
std::shared_ptr<const net::EndpointList> make_endpoint_list(
    const std::vector<ListedServer>& servers, std::int64_t revision);

}  // namespace quota_gateway::scale
