// Counts rejected requests by reason, for the log. Owned by the gateway: admission and the request
// finisher record rejections, and the gateway logs the counts periodically. No decision depends on
// them.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// Why a request was rejected.
enum class RejectionReason {
  kOverQuota,                   // not covered by this gateway's slice of the quota
  kOverQuotaTotalUnknown,       // the same, before any counter total was known
  kOverQuotaDemandWithinQuota,  // the same, although the measured demand is below the quota
  kOverCeiling,                 // over the ceiling and over the quota
  kOverCeilingWithinQuota,      // over the ceiling only
  kNoEndpointCapacity,          // no endpoint could serve it in time
};

// Numbers of arrived and of rejected requests.
class RejectionCounts {
 public:
  void on_request() { ++requests_; }
  void on_rejected(RejectionReason reason) { ++counts_[std::size_t(reason)]; }

  // Whether any request was rejected.
  bool has_rejections() const;

  // The counts as text for a log line.
  std::string text() const;

 private:
  static constexpr std::size_t kReasons = std::size_t(RejectionReason::kNoEndpointCapacity) + 1;

  int count(RejectionReason reason) const { return counts_[std::size_t(reason)]; }
  int over_quota() const;
  int over_ceiling() const;

  int requests_ = 0;  // all arrivals, rejected or not
  std::array<int, kReasons> counts_{};
};

// Accumulates the counts since the last report.
class RejectionStats {
 public:
  RejectionCounts& counts() { return counts_; }

  // Returns the counts and resets them if the last report is at least LogLimiter::kInterval ago;
  // otherwise returns nothing.
  std::optional<RejectionCounts> take_if_due(Micros now);

 private:
  RejectionCounts counts_;
  Micros last_report_at_ = 0;
};

}  // namespace quota_gateway::policy
