// Gateways that receive the requests of one customer and share one counter. Servers respond
// immediately, the counter replies after one millisecond. Used by the tests of quotas and rate
// ceilings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

// Simulates the gateways, their servers and the counter.
class SharedCounterFleet {
 public:
  SharedCounterFleet(Settings settings, int gateway_count);

  // Sends `count` requests of one unit each to a gateway, one at a time.
  void send_requests(std::size_t gateway, Micros now, int count);

  // Called for each attempt that a gateway sends.
  std::function<void(Micros now)> on_forwarded = [](Micros) {};

  // The outcome of each call to the counter from now on, and whether the counter replies at all.
  CounterOutcome counter_outcome = CounterOutcome::kOk;
  bool counter_replies = true;

  int requested() const { return requested_; }
  int forwarded() const { return forwarded_; }

 private:
  void perform(std::size_t gateway, Micros now, const std::vector<Action>& actions);

  std::vector<GatewayHarness> gateways_;
  std::map<std::int64_t, double> totals_;  // by counter key
  int requested_ = 0;
  int forwarded_ = 0;
};

}  // namespace quota_gateway::testing
