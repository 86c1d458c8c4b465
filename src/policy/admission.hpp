// Decides whether a request is admitted: by its customer's quota, by the hard ceiling of its plan,
// and by how busy endpoints are. Requests may wait here for a reply of the counter, once and
// briefly. Owned by the gateway, which acts on the decisions.
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

enum class AdmissionDecision {
  kWaitForCounter,  // decide again on the counter's reply or on CounterWaitTimeout
  kAdmitted,        // its units are charged; Request::over_quota says whether to the quota
  kRejected         // the Reject action is emitted; the request is to be finished
};

class Admission {
 public:
  // All references must outlive this object.
  Admission(const Settings& settings, QuotaAllocator& quota, RateCeiling& rate_ceiling,
            LoadBalancer& load_balancer, TimerTable& timers, RejectionCounts& rejections);

  // Whether a new request waits for its customer's first total of the counter. Reports the
  // customer's demand to the counter if that is due.
  bool waits_for_first_total(EventContext& context, Request& request);

  // Decides about a request that has no decision yet, by what is known now. Estimates and shares of
  // its customer are brought up to date.
  AdmissionDecision decide(EventContext& context, Request& request);

  // The counter replied. Returns the ids of the requests to decide now; some may be closed, or wait
  // no more.
  std::vector<std::string> on_counter_reply(Micros now, const CounterReply& reply);

 private:
  enum class QuotaCheck {
    kBeyond,
    kWithinSlice,
    kReserved,       // its units are reserved from the shared pool
    kWaitForCounter  // a reservation is in flight
  };

  QuotaCheck check_quota(EventContext& context, Request& request, bool excess_admitted);
  QuotaCheck check_shared_pool(EventContext& context, Request& request, bool excess_admitted);
  static void charge(Request& request, QuotaCheck quota);
  bool is_excess_admitted(Micros now, const PlanSettings& plan);
  bool reserves_from_ceiling_pool(EventContext& context, const Request& request);
  bool may_wait(Micros now, const Request& request) const;
  AdmissionDecision wait(EventContext& context, Request& request,
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
