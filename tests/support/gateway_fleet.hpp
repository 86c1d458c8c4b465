// Many gateways that see the same endpoints and meet requests at the same pace. Used by the tests
// of the endpoint subset and of slow start, where only the fleet as a whole shows the behaviour.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

// The outcome of an attempt at an endpoint.
using OutcomeOf = std::function<Outcome(const std::string& endpoint)>;

// Every endpoint serves.
Outcome always_ok(const std::string& endpoint);

class GatewayFleet {
 public:
  // Endpoints are named s0, s1 ...; quotas are not reached.
  GatewayFleet(int gateway_count, int endpoint_count, Settings settings = basic_settings());

  // One request at each gateway, whose attempts end as `outcome_of` says.
  void round(Micros now, const OutcomeOf& outcome_of);

  // Rounds `first` to `last`, both included; round number i is at i * `interval`.
  void rounds(int first, int last, Micros interval, const OutcomeOf& outcome_of);

  // Hands an event to every gateway.
  void handle_everywhere(Micros now, const Event& event);

  // Forgets which endpoints were used so far, and how often.
  void reset_usage();

  GatewayHarness& gateway(std::size_t index) { return gateways_[index]; }
  const std::vector<std::string>& endpoints() const { return endpoints_; }

  // By gateway: the endpoints that it has sent attempts to.
  const std::vector<std::set<std::string>>& used_endpoints() const { return used_endpoints_; }

  // Attempts that all gateways together have sent to an endpoint.
  int attempts_at(const std::string& endpoint) const;

 private:
  std::vector<std::string> endpoints_;
  std::vector<GatewayHarness> gateways_;
  std::vector<std::set<std::string>> used_endpoints_;
  std::map<std::string, int> attempts_at_;
};

}  // namespace quota_gateway::testing
