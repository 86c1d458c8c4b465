// Requests within their quota that found no endpoint with capacity. They are held for a fraction of
// their latency objective, and those of the highest priority are sent first. Owned by the gateway,
// which serves the queue after every batch of events.
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

  // Sends a request that was admitted. If that is not possible now, it is held if it is within its
  // quota and rejected otherwise.
  void send_or_hold(EventContext& context, Request& request);

  // Holds a request that is not held yet.
  void enqueue(EventContext& context, Request& request);

  // Sends what endpoints have capacity for by now, and rejects what they will have none for in
  // time.
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
  std::vector<std::string> request_ids_;  // highest priority first
};

}  // namespace quota_gateway::policy
