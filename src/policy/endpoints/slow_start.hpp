// Limits what freshly started endpoints get while they warm up: their capacity grows with their
// age, and one that is overloaded meanwhile fails for good.
//
// Owned by LoadBalancer; owns Endpoint::slow_start. Work is in seconds of an endpoint's time.
#pragma once

#include <cstddef>

#include "policy/endpoints/endpoint.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// How large the stretch of endpoints is that a gateway uses.
struct SubsetShare {
  std::size_t subset_size = 0;
  std::size_t endpoints_up = 0;
};

class SlowStart {
 public:
  // `settings` must outlive this object and may change at any time.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // So many processes of this gateway run side by side and share its part of what endpoints bear.
  void set_process_count(int processes) { process_count_ = processes; }

  // The least fraction of its full capacity that the endpoint may have by now: 1 when it is warm.
  double warmup_fraction(Micros now, const Endpoint& endpoint) const;

  // May an attempt of this work be sent? Always true of a warm endpoint.
  bool admits(Micros now, Endpoint& endpoint, double work, SubsetShare share) const;

  void on_attempt_sent(Micros now, Endpoint& endpoint, double work) const;

  // Once a period: work that warm endpoints of the subset were sent in it, and the sum of their
  // weights.
  void update_peer_rate(double work, double total_weight);

  // Would the state of this endpoint be missed if it were forgotten? One that returns to the subset
  // while it warms up has borne what it was sent before.
  bool has_relevant_state(Micros now, const Endpoint& endpoint) const;

 private:
  const Settings& settings_;
  double peer_rate_ = 0;  // work a second that a warm endpoint of weight 1 gets; smoothed
  int process_count_ = 1;
};

}  // namespace quota_gateway::policy
