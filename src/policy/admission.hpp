// Decides whether a request is admitted, from the quota of its customer, the hard rate ceiling of
// its plan and the utilization of the endpoints. A request may wait for replies of the counter, for
// about one counter timeout after its arrival. Gateway owns the Admission object and acts on its
// decisions.
#pragma once

#include <string>
#include <vector>

#include "policy/event_context.hpp"
#include "policy/quota/shared_pool.hpp"
#include "policy/rejection_stats.hpp"
#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class LoadBalancer;
class QuotaAllocator;
class RateCeiling;
class TimerTable;

// What happens next to a request.
enum class AdmissionDecision {
  kWaitForCounter,  // decide again on the counter reply or on CounterWaitTimeout
  kAdmitted,        // charged to the quota unless Request::over_quota is set
  kRejected         // a Reject action was emitted; the caller must finish the request
};

class Admission {
 public:
  // All references must outlive this object.
  Admission(const Settings& settings, QuotaAllocator& quota, RateCeiling& rate_ceiling,
            LoadBalancer& load_balancer, TimerTable& timers, RejectionCounts& rejections);

  // Returns whether a new request waits for the first counter total of its customer. Also reports
  // the demand of the customer to the counter if a report is due and the ceiling admits the
  // request.
  bool waits_for_first_total(EventContext& context, Request& request);

  // Decides on a request that has no decision yet, from the present state. Brings the demand
  // estimates and the ceiling share of its customer up to date.
  AdmissionDecision decide(EventContext& context, Request& request);

  // Processes a reply of the counter. Returns the ids of the requests that waited for it and must
  // be decided now; some of them may have ended or may no longer be waiting.
  std::vector<std::string> on_counter_reply(Micros now, const CounterReply& reply);

 private:
  // How the quota of the customer covers a request.
  enum class QuotaCheck {
    kNotCovered,     // over the quota
    kWithinSlice,    // covered by this gateway's slice
    kReserved,       // covered by units reserved from the shared pool
    kWaitForCounter  // a reservation call is in flight
  };

  QuotaCheck check_quota(EventContext& context, Request& request, bool excess_admitted);
  QuotaCheck check_shared_pool(EventContext& context, Request& request, bool excess_admitted);
  static void charge(Request& request, QuotaCheck quota);
  bool is_excess_admitted(Micros now, const PlanSettings& plan);
  bool try_reserve_from_ceiling_pool(EventContext& context, const Request& request);
  bool may_wait_for_counter(Micros now, const Request& request) const;
  AdmissionDecision wait_for_counter(EventContext& context, Request& request,
                                     std::vector<std::string>& waiting_ids);
  AdmissionDecision reject_over_ceiling(EventContext& context, const Request& request,
                                        bool within_quota);
  AdmissionDecision reject(EventContext& context, const Request& request, RejectionReason reason,
                           Micros min_retry_after);

  const Settings& settings_;
  QuotaAllocator& quota_;
  RateCeiling& rate_ceiling_;
  LoadBalancer& load_balancer_;
  TimerTable& timers_;
  RejectionCounts& rejections_;
  PoolLedger pools_;
};

}  // namespace quota_gateway::policy
