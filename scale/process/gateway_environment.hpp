// What a real gateway process needs round it: servers, a discovery agent that lists them, and a
// counter. Made by each point of a process slope, and ends with it.
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

constexpr Micros kServerServiceTime = 2'000;  // us from a request's last byte to its answer

// The servers run on one thread, discovery and counter on another; calls block until it is done
// there.
class GatewayEnvironment {
 public:
  explicit GatewayEnvironment(std::size_t listed_servers);

  // As discovery lists the server with this index: up since long ago.
  ListedServer listed_server(std::size_t index) const;
  // Has discovery tell its watchers of one change.
  void publish(const std::vector<ListedServer>& entries);
  // What discovery has sent so far.
  FakeDiscovery::Counts discovery_counts();

  enum class StartingList { kNone, kKnown };
  // For a gateway here, one of as many as the operators have for these servers.
  GatewayConfigOptions gateway_config(StartingList starting_list) const;

  // A server's own address, for clients that go round the gateway.
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
