// Limits the work sent to recently started endpoints while they warm up. The capacity of such an
// endpoint grows with its age; an endpoint that is overloaded during warm-up fails permanently.
//
// Owned by LoadBalancer; maintains Endpoint::slow_start. Work is in seconds of endpoint time.
#pragma once

#include <cstddef>

#include "policy/endpoints/endpoint.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// How many of the endpoints a gateway uses.
struct SubsetShare {
  std::size_t subset_size = 0;
  std::size_t endpoints_up = 0;
};

class SlowStart {
 public:
  // `settings` must outlive this object and may change at any time.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // Sets the number of processes that serve as this gateway at the same time and divide its share
  // of each endpoint's capacity between them.
  void set_process_count(int processes) { process_count_ = processes; }

  // Returns the minimum fraction of its full capacity that the endpoint has now: 1 when it is warm.
  double warmup_fraction(Micros now, const Endpoint& endpoint) const;

  // Returns whether an attempt of this work may be sent. Always true for a warm endpoint.
  bool admits(Micros now, Endpoint& endpoint, double work, SubsetShare share) const;

  void on_attempt_sent(Micros now, Endpoint& endpoint, double work) const;

  // Must be called once per period with the work sent to the warm endpoints of the subset in that
  // period, and with the sum of their weights.
  void update_peer_rate(double work, double total_weight);

  // Returns whether the endpoint's state must be kept. If an endpoint leaves the subset and returns
  // during its warm-up, the work that it was sent before still counts.
  bool has_relevant_state(Micros now, const Endpoint& endpoint) const;

 private:
  const Settings& settings_;
  double peer_rate_ = 0;  // work per second sent to a warm endpoint of weight 1; smoothed
  int process_count_ = 1;
};

}  // namespace quota_gateway::policy
