// One customer asks one gateway for more than its quota while it uses other gateways too: what part
// of its requests this gateway forwards. Used by the tests of counter totals and of the rate of
// counter calls.
#pragma once

#include <cstddef>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

// The load on a quota of 10 units a second, for 20 s.
struct QuotaLoad {
  double own_rate = 12;        // requests a second at this gateway, one unit each
  double elsewhere_rate = 36;  // units a second at the other gateways
  int gateway_count = 2;
  CounterOutcome counter_fault = CounterOutcome::kOk;  // of every call from `fault_from` on
  int fault_from = 0;                                  // s
  bool counter_forgets = false;                        // in the second half, totals are too small
};

struct QuotaShareResult {
  double forwarded_share = 0;  // of the requests of the second half
  std::size_t counter_calls = 0;
};

QuotaShareResult run_quota_share_trial(const QuotaLoad& load);

}  // namespace quota_gateway::testing
