// Simulates a customer that sends one gateway more requests than its quota allows while it also
// uses other gateways, and measures the fraction of the requests that this gateway forwards. Used
// by the tests of counter totals and of the rate of counter calls.
#pragma once

#include <cstddef>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

// The load on a quota of 10 units per second, for 20 s.
struct QuotaLoad {
  double own_rate = 12;     // requests per second at this gateway, one unit each
  double others_rate = 36;  // units per second at the other gateways
  int gateway_count = 2;
  CounterOutcome counter_fault = CounterOutcome::kOk;  // outcome of the calls from `fault_from` on
  int fault_from = 0;                                  // s
  bool counter_loses_totals = false;                   // totals are too small in the second half
};

// The result of a trial.
struct QuotaShareResult {
  double forwarded_fraction = 0;  // of this gateway's requests in the second half
  std::size_t counter_calls = 0;
};

// Runs one trial with a new gateway.
QuotaShareResult run_quota_share_trial(const QuotaLoad& load);

}  // namespace quota_gateway::testing
