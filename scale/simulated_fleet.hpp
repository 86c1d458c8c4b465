// A fleet of simulated gateways in groups, each with a thread of its own. Owned by TestFleet or by
// a test. All calls are made from the owner's thread; the gateways run on the event loops of their
// groups.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "event_loop_thread.hpp"
#include "fleet_options.hpp"
#include "fleet_state.hpp"
#include "list_progress.hpp"
#include "listed_server.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class SimulatedGateway;

// The gateways of one event loop. Public only for EventLoopThread::emplace().
class SimulatedGatewayGroup {
 public:
  SimulatedGatewayGroup(boost::asio::io_context& io, const FleetOptions& options,
                        std::size_t first_gateway, std::size_t gateways);
  ~SimulatedGatewayGroup();
  SimulatedGatewayGroup(const SimulatedGatewayGroup&) = delete;
  SimulatedGatewayGroup& operator=(const SimulatedGatewayGroup&) = delete;

  void add_to(FleetState& state) const;
  void set_request_rate(double requests_per_s);
  void expect(const std::shared_ptr<const UpServers>& expected);
  // See SimulatedFleet::delays().
  void add_delays(std::int64_t revision, Micros since, std::vector<double>& delays) const;

 private:
  std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
};

// Owns the groups and their threads.
class SimulatedFleet {
 public:
  // Starts the gateways. Throws std::runtime_error if the process cannot have enough descriptors.
  explicit SimulatedFleet(FleetOptions options);

  // Ends the gateways of the group without shutdown and immediately starts new ones, with the
  // persisted list.
  void restart(std::size_t group);
  std::size_t groups() const { return groups_.size(); }
  // Sets the requests per second at each gateway.
  void set_request_rate(double requests_per_s);
  // From now on, FleetState::converged counts gateways that have known exactly those of `servers`
  // that are up.
  void expect(const std::vector<ListedServer>& servers);

  FleetState state() const;
  // Returns the state of the current gateways of the group.
  FleetState state_of(std::size_t group) const;
  // Waits until the state satisfies the condition. Returns false if it does not within `timeout`.
  bool wait_until(const std::function<bool(const FleetState&)>& condition, Micros timeout) const;
  // Returns, for each gateway that has applied `revision` or a later one, the microseconds from
  // `since` until it applied its latest list.
  std::vector<double> delays(std::int64_t revision, Micros since) const;

 private:
  struct Group {
    std::unique_ptr<EventLoopThread> thread;
    // Lives on the thread's event loop.
    SimulatedGatewayGroup* gateways = nullptr;
    std::size_t first_gateway = 0;
    std::size_t size = 0;
  };

  void start(Group& group);

  FleetOptions options_;
  // Null until expect() is called.
  std::shared_ptr<const UpServers> expected_;
  std::vector<Group> groups_;
  // What remains of the state of gateways that were restarted.
  FleetState ended_;
};

}  // namespace quota_gateway::scale
