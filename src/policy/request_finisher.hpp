// Ends requests: the final reply of those that no endpoint will answer, cancellation of attempts
// that are no longer needed, and units of the quota that were never used. Owned by the gateway.
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

  // The one final reply of a request that no endpoint will answer: rejected if it had no effect or
  // may be sent again, failed otherwise. Does nothing if the request is done.
  void reject_or_fail(EventContext& context, Request& request);

  // The request has its final reply, or its client is gone. Cancels its attempts where that is
  // allowed, and leaves it in the table.
  void finish(EventContext& context, Request& request) const;

  // The same, and erases it from the table unless an attempt or the hold queue still needs it.
  void finish_and_erase(EventContext& context, Request& request);

 private:
  const Settings& settings_;
  RejectionCounts& rejections_;
  RequestTable& requests_;
};

}  // namespace quota_gateway::policy
