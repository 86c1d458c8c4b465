#include "policy/rejection_stats.hpp"

#include <utility>

#include "policy/log_limiter.hpp"
#include "util/string_concat.hpp"

namespace quota_gateway::policy {

bool RejectionCounts::has_rejections() const {
  return over_quota() + over_ceiling() + count(RejectionReason::kNoEndpointCapacity) > 0;
}

std::string RejectionCounts::text() const {
  return concat("over slice ", over_quota(), " (total unknown ",
                count(RejectionReason::kOverQuotaTotalUnknown), ", demand within quota ",
                count(RejectionReason::kOverQuotaDemandWithinQuota), "), over ceiling ",
                over_ceiling(), " (within quota ", count(RejectionReason::kOverCeilingWithinQuota),
                "), no capacity ", count(RejectionReason::kNoEndpointCapacity), " of ", requests_,
                " requests");
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
