#include "policy/rejection_stats.hpp"

#include <utility>

#include "policy/log_limiter.hpp"
#include "util/string_join.hpp"

namespace quota_gateway::policy {

bool RejectionCounts::any() const {
  return over_quota() + over_ceiling() + count(RejectionReason::kNoEndpointCapacity) > 0;
}

std::string RejectionCounts::text() const {
  return join("slice ", over_quota(), " (no total ", count(RejectionReason::kOverQuotaTotalUnknown),
              ", demand within quota ", count(RejectionReason::kOverQuotaDemandWithinQuota),
              "), ceiling ", over_ceiling(), " (slice had it ",
              count(RejectionReason::kOverCeilingWithinQuota), "), servers ",
              count(RejectionReason::kNoEndpointCapacity), " of ", requests_, "; ");
}

int RejectionCounts::over_quota() const {
  return count(RejectionReason::kOverQuota) + count(RejectionReason::kOverQuotaTotalUnknown) +
         count(RejectionReason::kOverQuotaDemandWithinQuota);
}

int RejectionCounts::over_ceiling() const {
  return count(RejectionReason::kOverCeiling) + count(RejectionReason::kOverCeilingWithinQuota);
}

std::optional<RejectionCounts> RejectionStats::take_if_due(Micros now) {
  if (now - last_report_at_ < LogLimiter::kInterval) {
    return std::nullopt;
  }
  last_report_at_ = now;
  return std::exchange(counts_, {});
}

}  // namespace quota_gateway::policy
