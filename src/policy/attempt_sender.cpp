#include "policy/attempt_sender.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "policy/endpoints/load_balancer.hpp"
#include "policy/quota/rate_ceiling.hpp"
#include "policy/retry_policy.hpp"
#include "policy/time_units.hpp"
#include "policy/timer_table.hpp"

namespace quota_gateway::policy {
namespace {

// Expected response times after which an attempt is checked for a stalled endpoint.
constexpr double kStalledCheckDelayFactor = 7;
// Minimum of this delay, in microseconds: fast endpoints pause for longer than a few of their
// response times without having stalled.
constexpr Micros kMinStalledCheckDelay = 50'000;

}  // namespace

AttemptSender::AttemptSender(const Settings& settings, RetryPolicy& retry_policy,
                             RateCeiling& rate_ceiling, LoadBalancer& load_balancer,
                             TimerTable& timers)
    : settings_(settings),
      retry_policy_(retry_policy),
      rate_ceiling_(rate_ceiling),
      load_balancer_(load_balancer),
      timers_(timers) {}

bool AttemptSender::send(EventContext& context, Request& request) {
  const Micros now = context.now;
  const Micros timeout = request.give_up_at - now;
  if (!retry_policy_.has_attempts_left(request) || timeout <= settings_.clock_tick) {
    return false;
  }
  const AttemptEstimate estimate{
      .work = request.expected_response_time / kMicrosPerSecond,
      .mean_response_time = request.request_class->latency.mean(),
  };
  Endpoint* const endpoint = load_balancer_.pick(now, estimate, [&](const Endpoint& candidate) {
    return retry_policy_.may_send_to(now, request, candidate);
  });
  if (!endpoint) {
    return false;
  }
  if (request.is_first_attempt()) {
    if (!rate_ceiling_.try_acquire(now, *request.customer, request.units)) {
      return false;
    }
    retry_policy_.on_first_attempt();
  }
  load_balancer_.on_attempt_sent(now, *endpoint, estimate.work);
  if (!request.body_pending) {
    load_balancer_.add_in_flight(now, *endpoint, 1);
  }
  const std::optional<Micros> write_before = retry_policy_.write_before(request);
  Attempt& attempt = request.attempts.emplace_back();
  attempt.endpoint = endpoint;
  attempt.sent_at = now;
  attempt.fully_written = !request.body_pending;
  ++request.attempts_in_flight;
  ++request.customer->attempts_in_progress;
  context.emit(SendAttempt{request.id, endpoint->entry.server, timeout, write_before});
  schedule_stalled_check(context, request, int(request.attempts.size()) - 1);
  return true;
}

void AttemptSender::on_written(EventContext& context, Request& request, int attempt_index) {
  Attempt& attempt = request.attempts.at(std::size_t(attempt_index));
  if (!attempt.in_flight || attempt.fully_written) {
    return;
  }
  attempt.fully_written = true;
  load_balancer_.add_in_flight(context.now, *attempt.endpoint, 1);
}

void AttemptSender::check_stalled(EventContext& context, Request& request, int attempt_index) {
  Attempt& attempt = request.attempts[std::size_t(attempt_index)];
  if (!attempt.in_flight || attempt.cancelled_as_stalled) {
    return;
  }
  if (may_cancel_stalled(request, attempt)) {
    retry_policy_.spend_retry();
    attempt.cancelled_as_stalled = true;
    context.emit(CancelAttempt{request.id, attempt_index});
    return;
  }
  schedule_stalled_check(context, request, attempt_index);
}

void AttemptSender::schedule_stalled_check(EventContext& context, const Request& request,
                                           int attempt_index) {
  const Micros delay = std::max(Micros(kStalledCheckDelayFactor * request.expected_response_time),
                                kMinStalledCheckDelay);
  const Micros check_at = context.now + delay;
  if (check_at < request.give_up_at) {
    timers_.arm(context, request, StalledAttemptCheck{attempt_index}, check_at);
  }
}

// An endpoint that has answered other requests since the attempt was sent has not stalled; this
// request merely takes long.
bool AttemptSender::may_cancel_stalled(const Request& request, const Attempt& attempt) const {
  return RetryPolicy::is_repeatable(*request.request_class) && retry_policy_.can_afford_retry() &&
         settings_.cancellation_allowed && attempt.endpoint->last_progress_at <= attempt.sent_at;
}

}  // namespace quota_gateway::policy
