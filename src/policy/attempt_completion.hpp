// What follows when an attempt ends: the endpoint's health and the class's response times learn of
// it, and the request is done, retried, held, or rejected. Owned by the gateway.
#pragma once

#include "policy/event_context.hpp"
#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class AttemptSender;
class HoldQueue;
class LoadBalancer;
class LogLimiter;
class RequestFinisher;
class RetryPolicy;

class AttemptCompletion {
 public:
  // All references must outlive this object.
  AttemptCompletion(const Settings& settings, LoadBalancer& load_balancer, LogLimiter& log,
                    RetryPolicy& retry_policy, AttemptSender& sender, HoldQueue& hold_queue,
                    RequestFinisher& finisher);

  // An attempt of this request ended. Ignores attempts that the request never had and those that
  // have ended before: returns false then. Leaves it to the caller to erase the request if that is
  // done.
  bool on_completed(EventContext& context, Request& request, const AttemptCompleted& event);

 private:
  void report_to_endpoint(EventContext& context, const Request& request, const Attempt& attempt,
                          const AttemptCompleted& event);
  void retry_or_end(EventContext& context, Request& request, bool retry_is_free);

  const Settings& settings_;
  LoadBalancer& load_balancer_;
  LogLimiter& log_;
  RetryPolicy& retry_policy_;
  AttemptSender& sender_;
  HoldQueue& hold_queue_;
  RequestFinisher& finisher_;
};

}  // namespace quota_gateway::policy
