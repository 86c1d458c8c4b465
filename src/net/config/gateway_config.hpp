// The configuration of one gateway process, read from its configuration file and environment
// variables (see config_loader.hpp). GatewayServer takes the values when it is constructed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "net/discovery/endpoint_list_parser.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct GatewayConfig {
  // Name of the gateway, unique within its site. Both processes of a hot restart have the same
  // name.
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  // No value if there is no quota counter.
  std::optional<boost::asio::ip::tcp::endpoint> counter_address;
  // No value if the admin server is disabled.
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;
  // Seed of the decision module's random numbers.
  std::uint64_t seed = 0;
  // Maximum number of open file descriptors of the process.
  std::size_t max_sockets = 1024;
  std::size_t memory_limit_mb = 192;
  // Directory of the socket through which the two processes of a hot restart find each other. Empty
  // if hot restart is disabled.
  std::string hot_restart_directory;
  Settings settings;
  // Idle time after which a server closes a connection.
  Micros connection_idle_timeout = 15'000'000;
  Micros connect_timeout = 250'000;
  // Longest pause between two requests while discovery rejects them, us. If it is 0, lists are
  // treated as pushed (see WatchMode).
  Micros max_discovery_backoff = 0;
  // The endpoint list of the configuration file, which applies until discovery has sent one.
  EndpointList persisted_endpoints;
};

}  // namespace quota_gateway::net
