// A fleet of simulated gateways, in groups that each have a thread of their own. Owned by TestFleet
// or by a test, whose thread makes all calls; they run on the groups' event loops.
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

// The gateways of one event loop. Public for EventLoopThread::emplace() alone.
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

class SimulatedFleet {
 public:
  // Starts the gateways. Throws std::runtime_error if the process may not have the descriptors.
  explicit SimulatedFleet(FleetOptions options);

  // The gateways of the group end without shutdown and start anew at once, with the persisted list.
  void restart(std::size_t group);
  std::size_t groups() const { return groups_.size(); }
  // Requests per second at each gateway.
  void set_request_rate(double requests_per_s);
  // From now on FleetState::converged counts gateways that have known just those of the servers
  // that are up.
  void expect(const std::vector<ListedServer>& servers);

  FleetState state() const;
  // Of the gateways that the group has now.
  FleetState state_of(std::size_t group) const;
  // Waits until the state fulfils the condition; false if it has not within the timeout.
  bool wait_until(const std::function<bool(const FleetState&)>& condition, Micros timeout) const;
  // For each gateway that is at the revision or past it, the microseconds from `since` until then.
  std::vector<double> delays(std::int64_t revision, Micros since) const;

 private:
  struct Group {
    std::unique_ptr<EventLoopThread> thread;
    // On the thread.
    SimulatedGatewayGroup* gateways = nullptr;
    std::size_t first_gateway = 0;
    std::size_t size = 0;
  };

  void start(Group& group);

  FleetOptions options_;
  // Null until expect().
  std::shared_ptr<const UpServers> expected_;
  std::vector<Group> groups_;
  // Of gateways that were restarted.
  FleetState ended_;
};

}  // namespace quota_gateway::scale
