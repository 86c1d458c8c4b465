// Queue of requests for which no endpoint had capacity. A request is held for at most a fraction of
// its latency objective, and requests are sent in descending order of priority. New requests beyond
// their quota are rejected instead of held. Owned by the gateway, which dispatches the queue after
// every batch of events.
#pragma once

#include <string>
#include <vector>

#include "policy/event_context.hpp"
#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class AttemptSender;
class LoadBalancer;
class LogLimiter;
class RequestFinisher;
class RequestTable;
class TimerTable;

class HoldQueue {
 public:
  // All references must outlive this object.
  HoldQueue(const Settings& settings, RequestTable& requests, TimerTable& timers, LogLimiter& log,
            LoadBalancer& load_balancer, AttemptSender& sender, RequestFinisher& finisher);

  // Sends an admitted request. If it cannot be sent now, holds it if it is within its quota, and
  // rejects it otherwise.
  void send_or_hold(EventContext& context, Request& request);

  // Adds a request that is not in the queue.
  void enqueue(EventContext& context, Request& request);

  // Sends the held requests for which endpoints now have capacity, and rejects those that are not
  // expected to be sent before their hold time ends.
  void dispatch_ready(EventContext& context);

 private:
  Micros hold_until(Micros now, const Request& request) const;

  const Settings& settings_;
  RequestTable& requests_;
  TimerTable& timers_;
  LogLimiter& log_;
  LoadBalancer& load_balancer_;
  AttemptSender& sender_;
  RequestFinisher& finisher_;
  std::vector<std::string> request_ids_;  // in descending order of priority
};

}  // namespace quota_gateway::policy
