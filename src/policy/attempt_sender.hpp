// Sends attempts to endpoints and cancels attempts at endpoints that have stalled. Owned by the
// gateway; the hold queue and the attempt completion send through it.
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

  // Sends the next attempt of a request if the request has attempts and time left, an endpoint has
  // capacity and, for a first attempt, the rate ceiling admits it. Returns whether an attempt was
  // sent.
  bool send(EventContext& context, Request& request);

  // Records that the endpoint has received the complete request body; from then on the attempt
  // counts as in flight there.
  void on_written(EventContext& context, Request& request, int attempt_index);

  // Handles an attempt that takes long: cancels it if its endpoint has made no progress since the
  // attempt was sent and a retry is allowed, otherwise schedules another check.
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
