// Statistics of the quotas for the gateway's log. QuotaAllocator provides them.
#pragma once

#include <cstddef>
#include <string>

#include "policy/quota/counter_rate_limiter.hpp"

namespace quota_gateway::policy {

// Numbers of customers, and of calls to the counter.
struct QuotaStats {
  std::size_t customers = 0;
  std::size_t customers_with_recent_total = 0;
  CounterCallCounts counter_calls;      // since the previous stats
  double counter_calls_per_second = 0;  // the present limit
};

// Returns the stats as part of a log line.
std::string format_quota_stats(const QuotaStats& stats);

}  // namespace quota_gateway::policy
