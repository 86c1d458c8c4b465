// What an operator's log says of the quotas. Made by QuotaAllocator for the gateway's log.
#pragma once

#include <cstddef>
#include <string>

#include "policy/quota/counter_rate_limiter.hpp"

namespace quota_gateway::policy {

struct QuotaStats {
  std::size_t customers = 0;
  std::size_t customers_with_recent_total = 0;
  CounterCallCounts counter_calls;      // since the stats before
  double counter_calls_per_second = 0;  // the present limit
};

// The stats as a part of a log line.
std::string format_quota_stats(const QuotaStats& stats);

}  // namespace quota_gateway::policy
