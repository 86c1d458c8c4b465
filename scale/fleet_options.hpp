// What a fleet of simulated gateways is made of. Plain values, kept by SimulatedFleet.
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

struct FleetOptions {
  std::size_t gateways = 20;
  // Each on a thread of its own, and restarted as one.
  std::size_t groups = 10;
  // Discovery agents; gateway i uses agents[i % size].
  std::vector<boost::asio::ip::tcp::endpoint> agents;
  std::optional<boost::asio::ip::tcp::endpoint> counter;
  // Without the count and the index of gateways, which SimulatedGateway fills in.
  Settings settings = default_settings();
  // Listed, at most.
  std::size_t servers = 0;
  // At each gateway.
  double requests_per_s = 0;
  // Tenants whose requests come to one gateway, a few of them most of all.
  std::size_t tenants_per_gateway = 100;
  // To which the requests of one tenant go.
  int gateways_per_tenant = 3;
  // From an attempt to its response, in microseconds.
  Micros service_time = 5'000;
  std::uint64_t seed = 1;
  // The persisted list that gateways start with; null: none.
  std::shared_ptr<const net::EndpointList> persisted_list = nullptr;

  // Two classes and two plans.
  static Settings default_settings();
};

// Descriptors that a fleet and the other ends of its connections take.
std::size_t descriptors_needed(const FleetOptions& options);

}  // namespace quota_gateway::scale
