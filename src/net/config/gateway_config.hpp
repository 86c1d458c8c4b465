// Everything that one gateway process is configured with, as read from its configuration file and
// environment (see config_loader.hpp). GatewayServer owns the values once it is constructed.
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
  // Of the gateway, unique in its site; both processes of a hot restart bear it.
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  // None: there is no quota counter.
  std::optional<boost::asio::ip::tcp::endpoint> counter_address;
  // None: no admin server listens.
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;
  // Of the decision module's random numbers.
  std::uint64_t seed = 0;
  // File descriptors that the process may have open.
  std::size_t max_sockets = 1024;
  std::size_t memory_limit_mb = 192;
  // The directory in which the two processes of a hot restart find each other. Empty: no hot
  // restart.
  std::string hot_restart_directory;
  Settings settings;
  // A server closes a connection that has been idle for this long.
  Micros connection_idle_timeout = 15'000'000;
  Micros connect_timeout = 250'000;
  // The longest pause between two calls while discovery rejects them. 0: discovery's default.
  Micros max_discovery_backoff = 0;
  // The endpoint list that the gateway starts with, until discovery has answered.
  EndpointList persisted_endpoints;
};

}  // namespace quota_gateway::net
