#include "policy/retry_policy.hpp"

#include <algorithm>

#include "policy/endpoints/endpoint.hpp"

namespace quota_gateway::policy {
namespace {

constexpr double kRetriesPerFirstAttempt = 0.1;

// Whether the endpoints recognise the same idempotency keys.
bool in_same_dedup_scope(DedupScope scope, const EndpointEntry& first,
                         const EndpointEntry& second) {
  switch (scope) {
    case DedupScope::kAll:
      return true;
    case DedupScope::kZone:
      return first.zone == second.zone;
    case DedupScope::kCell:
      return first.cell == second.cell;
  }
  return false;
}

}  // namespace

bool RetryPolicy::has_attempts_left(const Request& request) const {
  const int max_attempts = std::min(request.max_attempts, settings_.max_attempts);
  return int(request.attempts.size()) < max_attempts;
}

bool RetryPolicy::may_send_to(Micros now, const Request& request, const Endpoint& endpoint) const {
  const RequestClass& request_class = *request.request_class;
  const ClassSettings& settings = request_class.settings;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.endpoint == &endpoint) {
      return false;  // the request may fail there again
    }
    if (!attempt.may_have_run || settings.idempotency == Idempotency::kIdempotent) {
      continue;
    }
    if (settings.idempotency == Idempotency::kNonIdempotent) {
      return false;
    }
    if (!in_same_dedup_scope(settings.dedup_scope, endpoint.entry, attempt.endpoint->entry) ||
        now >= dedup_window_end(request_class, attempt)) {
      return false;
    }
  }
  return true;
}

std::optional<Micros> RetryPolicy::write_before(const Request& request) const {
  const RequestClass& request_class = *request.request_class;
  std::optional<Micros> earliest_end;
  if (request_class.settings.idempotency != Idempotency::kIdempotencyKey) {
    return earliest_end;
  }
  for (const Attempt& attempt : request.attempts) {
    if (attempt.may_have_run) {
      const Micros end = dedup_window_end(request_class, attempt);
      earliest_end = std::min(earliest_end.value_or(end), end);
    }
  }
  return earliest_end;
}

bool RetryPolicy::may_reject(const Request& request) {
  const ClassSettings& settings = request.request_class->settings;
  if (settings.idempotency == Idempotency::kIdempotent) {
    return true;
  }
  if (settings.idempotency == Idempotency::kIdempotencyKey &&
      settings.dedup_scope == DedupScope::kAll) {
    return true;
  }
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.may_have_run; });
}

bool RetryPolicy::is_repeatable(const RequestClass& request_class) {
  return request_class.settings.idempotency != Idempotency::kNonIdempotent;
}

void RetryPolicy::on_first_attempt() {
  retry_budget_ = std::min(kMaxRetryBudget, retry_budget_ + kRetriesPerFirstAttempt);
}

Micros RetryPolicy::dedup_window_end(const RequestClass& request_class,
                                     const Attempt& attempt) const {
  // The clock rounds both ends of the interval.
  return attempt.sent_at + request_class.settings.dedup_window - 2 * settings_.clock_tick;
}

}  // namespace quota_gateway::policy
