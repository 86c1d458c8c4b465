// Requests that were rejected, counted by reason for the log. Owned by the gateway; admission and
// the request finisher count, the gateway reports now and then. Decides nothing.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

enum class RejectionReason {
  kOverQuota,                   // beyond this gateway's slice of the quota
  kOverQuotaTotalUnknown,       // the same, while no total was known from the counter
  kOverQuotaDemandWithinQuota,  // the same, though the measured demand is within the quota
  kOverCeiling,                 // the quota is spent as well
  kOverCeilingWithinQuota,      // the quota alone would have admitted it
  kNoEndpointCapacity,          // no endpoint could take it in time
};

class RejectionCounts {
 public:
  void on_request() { ++requests_; }
  void on_rejected(RejectionReason reason) { ++counts_[std::size_t(reason)]; }

  // Whether anything was rejected.
  bool any() const;

  // One line for the log.
  std::string text() const;

 private:
  static constexpr std::size_t kReasons = std::size_t(RejectionReason::kNoEndpointCapacity) + 1;

  int count(RejectionReason reason) const { return counts_[std::size_t(reason)]; }
  int over_quota() const;
  int over_ceiling() const;

  int requests_ = 0;  // that arrived, rejected or not
  std::array<int, kReasons> counts_{};
};

// The counts since the last report.
class RejectionStats {
 public:
  RejectionCounts& counts() { return counts_; }

  // Takes the counts for a report, and starts anew, if the last report is long enough ago.
  std::optional<RejectionCounts> take_if_due(Micros now);

 private:
  RejectionCounts counts_;
  Micros last_report_at_ = 0;
};

}  // namespace quota_gateway::policy
