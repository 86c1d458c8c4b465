// The environment of a real gateway process: servers, a discovery agent that lists them, and a
// counter. Each point of a process scenario creates its own.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "listed_server.hpp"
#include "process/gateway_config.hpp"
#include "process/loopback_servers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

constexpr Micros kServerServiceTime = 2'000;  // us from the last byte of a request to its response

// The servers run on one thread, discovery and the counter on another. Calls block until that
// thread has carried them out.
class GatewayEnvironment {
 public:
  explicit GatewayEnvironment(std::size_t listed_servers);

  // Returns the server with this index as discovery lists it: up, with a start time far in the
  // past.
  ListedServer listed_server(std::size_t index) const;
  // Publishes one change of the list to the watchers of discovery.
  void publish(const std::vector<ListedServer>& entries);
  // Returns what discovery has counted so far.
  FakeDiscovery::Counts discovery_counts();

  // Whether a gateway starts with the complete list of discovery or without a list.
  enum class StartingList { kNone, kKnown };
  // Returns the configuration of a gateway in this environment. The number of gateways is in
  // the same proportion to the number of servers as in the operators' target.
  GatewayConfigOptions gateway_config(StartingList starting_list) const;

  // The address of a server, for clients that send requests to it directly, without a gateway.
  boost::asio::ip::tcp::endpoint server_address() const { return servers_.address(0); }

 private:
  FakeDiscovery::Options discovery_options() const;
  std::string fetch_list() const;

  const std::size_t listed_servers_;
  EventLoopThread servers_thread_;
  EventLoopThread control_thread_;
  LoopbackServers& servers_;
  FakeDiscovery& discovery_;
  FakeCounter& counter_;
};

}  // namespace quota_gateway::scale
