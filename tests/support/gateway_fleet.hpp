// Many gateways with the same endpoints and the same request rate. Used by the tests of the
// endpoint subset and of slow start, which check properties of the fleet as a whole.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

// A function that returns the outcome of an attempt at an endpoint.
using OutcomeOf = std::function<Outcome(const std::string& endpoint)>;

// An OutcomeOf for endpoints that answer every attempt successfully.
Outcome always_ok(const std::string& endpoint);

class GatewayFleet {
 public:
  // The endpoints are named s0, s1, ... The quota is too high to be reached.
  GatewayFleet(int gateway_count, int endpoint_count, Settings settings = basic_settings());

  // Sends one request to each gateway. `outcome_of` determines the outcome of its attempts.
  void run_round(Micros now, const OutcomeOf& outcome_of);

  // Runs the rounds `first` to `last`, inclusive. Round number i takes place at i * `interval`.
  void run_rounds(int first, int last, Micros interval, const OutcomeOf& outcome_of);

  // Delivers an event to every gateway.
  void broadcast(Micros now, const Event& event);

  // Clears the record of used endpoints and the counts of attempts.
  void reset_usage();

  GatewayHarness& gateway(std::size_t index) { return gateways_[index]; }
  const std::vector<std::string>& endpoints() const { return endpoints_; }

  // For each gateway, the endpoints that it has sent attempts to.
  const std::vector<std::set<std::string>>& used_endpoints() const { return used_endpoints_; }

  // Number of attempts that all gateways together have sent to an endpoint.
  int attempts_at(const std::string& endpoint) const;

 private:
  std::vector<std::string> endpoints_;
  std::vector<GatewayHarness> gateways_;
  std::vector<std::set<std::string>> used_endpoints_;
  std::map<std::string, int> attempts_at_;
};

}  // namespace quota_gateway::testing
