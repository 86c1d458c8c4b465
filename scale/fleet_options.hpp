// Configuration of a fleet of simulated gateways. Plain values, stored by SimulatedFleet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "net/discovery/endpoint_list.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Sizes, control servers, settings and load of the fleet.
struct FleetOptions {
  std::size_t gateways = 20;
  // Groups of gateways. Each runs on its own thread and is restarted as a unit.
  std::size_t groups = 10;
  // Discovery agents; gateway i uses agents[i % agents.size()].
  std::vector<boost::asio::ip::tcp::endpoint> agents;
  std::optional<boost::asio::ip::tcp::endpoint> counter;
  // Without the gateway count, the gateway index and the counter flag, which SimulatedGateway sets.
  Settings settings = default_settings();
  // The largest number of listed servers.
  std::size_t servers = 0;
  // Request rate at each gateway.
  double requests_per_s = 0;
  // Tenants that send requests to one gateway; a few of them send most of the requests.
  std::size_t tenants_per_gateway = 100;
  // Gateways to which one tenant sends requests.
  int gateways_per_tenant = 3;
  // Microseconds from an attempt to its response.
  Micros service_time = 5'000;
  std::uint64_t seed = 1;
  // The persisted list that gateways start with; null if there is none.
  std::shared_ptr<const net::EndpointList> persisted_list = nullptr;

  // Returns settings with two classes and two plans.
  static Settings default_settings();
};

// Returns the number of file descriptors that a fleet needs, including the other ends of its
// connections.
std::size_t descriptors_needed(const FleetOptions& options);

}  // namespace quota_gateway::scale
