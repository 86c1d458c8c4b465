// Gateways of one customer that share one counter. Servers answer at once, the counter after a
// millisecond. Used by the tests of quotas and rate ceilings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

class SharedCounterFleet {
 public:
  SharedCounterFleet(Settings settings, int gateway_count);

  // `count` requests of one unit arrive at a gateway, one by one.
  void send_requests(std::size_t gateway, Micros now, int count);

  // Called for each attempt that a gateway sends.
  std::function<void(Micros now)> on_forwarded = [](Micros) {};

  // What the counter says of each call from now on.
  CounterOutcome counter_outcome = CounterOutcome::kOk;
  bool counter_replies = true;

  int requested() const { return requested_; }
  int forwarded() const { return forwarded_; }

 private:
  void perform(std::size_t gateway, Micros now, const std::vector<Action>& actions);

  std::vector<GatewayHarness> gateways_;
  std::map<std::int64_t, double> totals_;  // by the counter's name
  int requested_ = 0;
  int forwarded_ = 0;
};

}  // namespace quota_gateway::testing
