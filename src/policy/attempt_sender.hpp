// Sends attempts to endpoints and watches those in flight: cancels one whose endpoint has stalled.
// Owned by the gateway; the hold queue and the completion of attempts send through it.
#pragma once

#include "policy/event_context.hpp"
#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class LoadBalancer;
class RateCeiling;
class RetryPolicy;
class TimerTable;

class AttemptSender {
 public:
  // All references must outlive this object.
  AttemptSender(const Settings& settings, RetryPolicy& retry_policy, RateCeiling& rate_ceiling,
                LoadBalancer& load_balancer, TimerTable& timers);

  // Sends the next attempt of a request if it may have one, the ceiling admits it and an endpoint
  // has capacity. Returns whether it was sent.
  bool send(EventContext& context, Request& request);

  // The endpoint has all of the request's body now.
  void on_written(EventContext& context, Request& request, int attempt_index);

  // The attempt takes long. Cancels it if its endpoint has answered nothing since it was sent,
  // otherwise checks again later.
  void check_stalled(EventContext& context, Request& request, int attempt_index);

 private:
  void schedule_stalled_check(EventContext& context, const Request& request, int attempt_index);
  bool may_cancel_stalled(const Request& request, const Attempt& attempt) const;

  const Settings& settings_;
  RetryPolicy& retry_policy_;
  RateCeiling& rate_ceiling_;
  LoadBalancer& load_balancer_;
  TimerTable& timers_;
};

}  // namespace quota_gateway::policy
