// Handles the end of an attempt: reports the result to the load balancer and to the latency
// estimator of the request class, then finishes, retries, holds, rejects or fails the request.
// Owned by the gateway.
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

  // Processes the end of an attempt of this request. Returns false and has no effect if the request
  // has no such attempt or if the attempt has already ended. Does not erase the request; the caller
  // erases it if it is no longer used.
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
