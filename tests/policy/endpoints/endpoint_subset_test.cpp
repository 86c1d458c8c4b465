// Tests that each gateway of a large fleet uses only a suitable subset of the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "support/gateway_fleet.hpp"

namespace quota_gateway::testing {
namespace {

// Returns a function by which the endpoints in `failing` refuse connections and all others succeed.
OutcomeOf refusing_connections(const std::set<std::string>& failing) {
  return [&failing](const std::string& endpoint) {
    return failing.contains(endpoint) ? Outcome::kConnectFailed : Outcome::kOk;
  };
}

TEST(EndpointSubset, ConnectionsStayBoundedAndEvenAsGatewaysAreAdded) {
  // Guards against each of a hundred gateways connecting to each of sixty endpoints.
  for (const int gateway_count : {2, 10, 40, 100, 200}) {
    GatewayFleet fleet(gateway_count, 60);
    fleet.run_rounds(1, gateway_count > 50 ? 600 : 1'500, 50 * kMillisecond, always_ok);
    std::map<std::string, int> gateways_using;
    for (const auto& used : fleet.used_endpoints()) {
      EXPECT_GE(used.size(), 6U);
      for (const auto& endpoint : used) {
        ++gateways_using[endpoint];
      }
    }
    EXPECT_EQ(gateways_using.size(), 60U) << gateway_count;  // no endpoint is left unused
    int min_gateways = gateway_count;
    int max_gateways = 0;
    for (const auto& [endpoint, gateways] : gateways_using) {
      min_gateways = std::min(min_gateways, gateways);
      max_gateways = std::max(max_gateways, gateways);
    }
    EXPECT_LE(max_gateways, std::max(12, gateway_count / 10 + 4)) << gateway_count;
    EXPECT_GE(min_gateways, std::min(gateway_count, 8)) << gateway_count;
  }
}

TEST(EndpointSubset, GrowsWhenItsEndpointsFail) {
  // If the subset did not grow, a gateway that lost all of its endpoints, for example with a zone,
  // could not serve any request.
  GatewayFleet fleet(100, 60);
  fleet.run_rounds(1, 40, 50 * kMillisecond, always_ok);
  const std::set<std::string> lost = fleet.used_endpoints()[0];
  const OutcomeOf outcome_of = refusing_connections(lost);
  GatewayHarness& gateway = fleet.gateway(0);
  int served = 0;
  for (int i = 41; i <= 240; ++i) {
    const Micros now = i * 50 * kMillisecond;
    gateway.run_timers(now);
    gateway.serve_request(now, prefixed_number("r", i), [&](const std::string& endpoint) {
      const Outcome outcome = outcome_of(endpoint);
      if (i > 140 && outcome == Outcome::kOk) {
        ++served;
      }
      return ServerResponse{.outcome = outcome, .duration = 20 * kMillisecond};
    });
  }
  EXPECT_GE(served, 95);
}

TEST(EndpointSubset, AddingAnEndpointKeepsMostOfEachSubset) {
  // Guards against all gateways reconnecting to other endpoints on each change of the list.
  GatewayFleet fleet(100, 60);
  fleet.run_rounds(1, 40, 50 * kMillisecond, always_ok);
  const auto before = fleet.used_endpoints();
  fleet.reset_usage();
  fleet.broadcast(2'001 * kMillisecond, partial_update(make_endpoints({"fresh"})));
  fleet.run_rounds(41, 80, 50 * kMillisecond, always_ok);
  std::size_t total = 0;
  std::size_t kept = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    total += before[i].size();
    for (const auto& endpoint : before[i]) {
      kept += fleet.used_endpoints()[i].count(endpoint);
    }
  }
  EXPECT_GE(kept, total * 8 / 10);
}

TEST(EndpointSubset, UnreachableEndpointsAreRarelyDialledInFleetsOfAnySize) {
  // An outdated list contains endpoints that refuse connections. Each gateway serves five requests
  // per second.
  for (const int gateway_count : {20, 100}) {
    GatewayFleet fleet(gateway_count, 60);
    const std::set<std::string> unreachable(fleet.endpoints().begin(),
                                            fleet.endpoints().begin() + 20);
    const OutcomeOf outcome_of = refusing_connections(unreachable);
    fleet.run_rounds(1, 25, 200 * kMillisecond, outcome_of);
    fleet.reset_usage();
    fleet.run_rounds(26, 75, 200 * kMillisecond, outcome_of);
    int dials = 0;
    for (const auto& endpoint : unreachable) {
      dials += fleet.attempts_at(endpoint);
    }
    // In 10 s. Without outlier detection, a gateway would dial an unreachable endpoint for a third
    // of its 50 requests.
    EXPECT_LE(dials, gateway_count * 3) << gateway_count;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
