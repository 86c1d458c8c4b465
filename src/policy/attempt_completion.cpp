#include "policy/attempt_completion.hpp"

#include <algorithm>
#include <cstddef>

#include "policy/attempt_sender.hpp"
#include "policy/endpoints/load_balancer.hpp"
#include "policy/hold_queue.hpp"
#include "policy/log_limiter.hpp"
#include "policy/quota/local_budget.hpp"
#include "policy/request_finisher.hpp"
#include "policy/retry_policy.hpp"

namespace quota_gateway::policy {
namespace {

// Fraction of the expected response time. A connection that is reset before then has cost its
// endpoint almost no work.
constexpr double kMaxFreeResetFraction = 0.25;

bool may_have_run(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

// Whether a retry is free, that is, not charged to the retry budget: the attempt cost its endpoint
// almost no work, or it was cancelled as stalled, which has been charged already.
bool is_retry_free(const Request& request, const Attempt& attempt, const AttemptCompleted& event) {
  const bool reset_early =
      event.outcome == Outcome::kReset &&
      double(event.duration) < kMaxFreeResetFraction * request.expected_response_time;
  return !attempt.may_have_run || attempt.cancelled_as_stalled || reset_early;
}

}  // namespace

AttemptCompletion::AttemptCompletion(const Settings& settings, LoadBalancer& load_balancer,
                                     LogLimiter& log, RetryPolicy& retry_policy,
                                     AttemptSender& sender, HoldQueue& hold_queue,
                                     RequestFinisher& finisher)
    : settings_(settings),
      load_balancer_(load_balancer),
      log_(log),
      retry_policy_(retry_policy),
      sender_(sender),
      hold_queue_(hold_queue),
      finisher_(finisher) {}

bool AttemptCompletion::on_completed(EventContext& context, Request& request,
                                     const AttemptCompleted& event) {
  if (event.attempt < 0 || event.attempt >= int(request.attempts.size())) {
    return false;
  }
  Attempt& attempt = request.attempts[std::size_t(event.attempt)];
  if (!attempt.in_flight) {
    return false;
  }
  attempt.in_flight = false;
  attempt.may_have_run = may_have_run(event.outcome);
  --request.attempts_in_flight;
  --request.customer->attempts_in_progress;
  if (event.outcome == Outcome::kOk) {
    request.request_class->latency.on_success(event.duration);
  }
  report_to_endpoint(context, request, attempt, event);
  if (settings_.units_settled_later && event.billed_units > 0.0 && !request.over_quota) {
    charge_slice(*request.customer, *event.billed_units - request.units);
  }
  if (event.request_answered) {
    finisher_.finish(context, request);
  }
  if (!request.done && request.attempts_in_flight == 0) {
    retry_or_end(context, request, is_retry_free(request, attempt, event));
  }
  return true;
}

void AttemptCompletion::report_to_endpoint(EventContext& context, const Request& request,
                                           const Attempt& attempt, const AttemptCompleted& event) {
  const RequestClass& request_class = *request.request_class;
  const double mean = request_class.latency.mean();
  const Micros objective = std::max<Micros>(1, request_class.settings.latency_objective);
  // Uses the duration in the event and not the clock: after the gateway process was suspended, it
  // processes completions late.
  const auto duration = double(event.duration);
  const AttemptResult result{
      .outcome = event.outcome,
      .cancelled_as_stalled = attempt.cancelled_as_stalled,
      .relative_duration = duration / request.expected_response_time,
      .objective_fraction = duration / double(objective) * mean / request.expected_response_time,
      .mean_response_time = mean,
  };
  if (attempt.fully_written) {
    load_balancer_.add_in_flight(context.now, *attempt.endpoint, -1);
  }
  const bool ejected =
      load_balancer_.on_attempt_complete(context.now, *attempt.endpoint, result, event.load);
  if (ejected) {
    log_.log(context, LogKind::kEndpoint,
             attempt.endpoint->entry.server + " ejected as an outlier");
  }
}

void AttemptCompletion::retry_or_end(EventContext& context, Request& request, bool retry_is_free) {
  const bool may_retry = (retry_is_free || retry_policy_.can_afford_retry()) &&
                         retry_policy_.has_attempts_left(request);
  if (!may_retry) {
    finisher_.reject_or_fail(context, request);
    return;
  }
  if (!retry_is_free) {
    retry_policy_.spend_retry();
  }
  if (sender_.send(context, request)) {
    return;
  }
  // A request with an idempotency key that may have run can be retried only at the endpoints that
  // recognise the key, which are few and often all at their limit. The request is then held, like
  // other requests, instead of being rejected.
  const bool has_candidates =
      load_balancer_.any_available(context.now, [&](const Endpoint& candidate) {
        return retry_policy_.may_send_to(context.now, request, candidate);
      });
  if (has_candidates) {
    hold_queue_.enqueue(context, request);
  } else {
    finisher_.reject_or_fail(context, request);
  }
}

}  // namespace quota_gateway::policy
