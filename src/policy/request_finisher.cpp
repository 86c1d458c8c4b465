#include "policy/request_finisher.hpp"

#include <cstddef>

#include "policy/quota/local_budget.hpp"
#include "policy/rejection_stats.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"

namespace quota_gateway::policy {

RequestFinisher::RequestFinisher(const Settings& settings, RejectionCounts& rejections,
                                 RequestTable& requests)
    : settings_(settings), rejections_(rejections), requests_(requests) {}

void RequestFinisher::reject_or_fail(EventContext& context, Request& request) {
  if (request.done) {
    return;
  }
  if (RetryPolicy::may_reject(request)) {
    rejections_.on_rejected(RejectionReason::kNoEndpointCapacity);
    const auto retry_after = Micros(request.request_class->latency.mean());
    context.emit(Reject{request.id, retry_after});
  } else {
    context.emit(Fail{request.id});
  }
  finish(context, request);
}

void RequestFinisher::finish(EventContext& context, Request& request) const {
  request.done = true;
  // A request that was never sent has used no units. The refund keeps requests that were held but
  // never sent from using up the quota of their customer.
  if (request.charged_to && request.attempts.empty()) {
    refund(*request.customer, *request.charged_to, request.quota_units);
  }
  request.charged_to.reset();
  if (!settings_.cancellation_allowed || request.request_class->settings.streamed) {
    return;
  }
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].in_flight) {
      context.emit(CancelAttempt{request.id, int(i)});
    }
  }
}

void RequestFinisher::finish_and_erase(EventContext& context, Request& request) {
  finish(context, request);
  requests_.erase_if_unused(request);
}

}  // namespace quota_gateway::policy
