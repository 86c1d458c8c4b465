// Ends requests: emits the final response of requests that no endpoint answers, cancels attempts
// that are no longer needed and refunds unused quota units. Owned by the gateway.
#pragma once

#include "policy/event_context.hpp"
#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class RejectionCounts;
class RequestTable;

class RequestFinisher {
 public:
  // All references must outlive this object.
  RequestFinisher(const Settings& settings, RejectionCounts& rejections, RequestTable& requests);

  // Emits the final response of a request that no endpoint will answer: a rejection if the request
  // had no effect or may be sent again, a failure otherwise. Does nothing if the request is done.
  void reject_or_fail(EventContext& context, Request& request);

  // Marks a request as done because it has its final response or its client has disconnected.
  // Refunds its quota units if it was never sent, and cancels its attempts in flight where that is
  // allowed. The request stays in the table.
  void finish(EventContext& context, Request& request) const;

  // Calls finish() and erases the request from the table, unless an attempt in flight or the hold
  // queue still refers to it.
  void finish_and_erase(EventContext& context, Request& request);

 private:
  const Settings& settings_;
  RejectionCounts& rejections_;
  RequestTable& requests_;
};

}  // namespace quota_gateway::policy
