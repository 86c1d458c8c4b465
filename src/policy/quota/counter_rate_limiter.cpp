#include "policy/quota/counter_rate_limiter.hpp"

#include <algorithm>
#include <utility>

#include "policy/time_units.hpp"
#include "util/decaying_mean.hpp"

namespace quota_gateway::policy {
namespace {

// Calls of all gateways together that are made at once, and a second, before the limit is known.
constexpr double kInitialCalls = 200;
// The least of these for each gateway.
constexpr double kLeastInitialCalls = 2;

// Calls a second, at the least; fewer would not notice that the counter is back.
constexpr double kLeastCallsPerSecond = 1;

// Congestion (fraction of the calls that fail or are slow) at which the rate is held.
constexpr double kTargetCongestion = 0.2;
// Smoothing of the congestion, a reply.
constexpr double kCongestionGain = 0.1;
// The congestion also fades with time, in us. Without this, the few calls after an overload would
// keep it alive.
constexpr Micros kCongestionMemory = kUpdatePeriod;
// A call without an answer counts as so many refused ones: all calls meet that queue.
constexpr double kUnansweredWeight = 5;

// Most that the rate changes in a second, as a fraction of it.
constexpr double kRateGain = 0.5;
// The rate after the counter was down, as a fraction of that before.
constexpr double kRateAfterDown = 0.5;

// Failed calls in a row after which the counter is taken as down.
constexpr int kDownAfterFailures = 6;

double congestion_sample(CounterOutcome outcome, bool is_slow) {
  if (outcome == CounterOutcome::kUnknown) {
    return kUnansweredWeight;
  }
  return outcome == CounterOutcome::kOk && !is_slow ? 0 : 1;
}

}  // namespace

CounterRateLimiter::CounterRateLimiter(const Settings& settings)
    : settings_(settings),
      calls_per_second_(initial_calls()),
      available_calls_(calls_per_second_),
      rate_before_failures_(calls_per_second_) {}

double CounterRateLimiter::initial_calls() const {
  return std::max(kLeastInitialCalls, kInitialCalls / std::max(1, settings_.gateway_count));
}

double CounterRateLimiter::capacity() const {
  return std::max(initial_calls(), calls_per_second_);
}

void CounterRateLimiter::refill(Micros now) {
  const double earned = calls_per_second_ * double(now - refilled_at_) / kMicrosPerSecond;
  available_calls_ = std::min(capacity(), available_calls_ + earned);
  refilled_at_ = now;
}

bool CounterRateLimiter::try_acquire(Micros now, double overdraft_seconds) {
  if (!settings_.has_counter || is_counter_down()) {
    return false;
  }
  refill(now);
  if (available_calls_ < 1 - overdraft_seconds * calls_per_second_) {
    return false;
  }
  take();
  return true;
}

bool CounterRateLimiter::is_counter_down() const {
  return failures_in_a_row_ >= kDownAfterFailures;
}

// A counter that is asked more than it can serve answers next to nobody. Every gateway sees that
// alike and slows down alike.
void CounterRateLimiter::on_reply(Micros now, const CounterReply& reply) {
  congestion_ *= decay_factor(now - std::exchange(congestion_at_, now), kCongestionMemory);
  const bool is_ok = reply.outcome == CounterOutcome::kOk;
  const bool is_back = is_ok && is_counter_down();
  const bool is_slow = 2 * reply.duration > settings_.counter_timeout;
  count_reply(reply.outcome, is_slow);
  if (failures_in_a_row_ == 0) {
    rate_before_failures_ = calls_per_second_;
  }
  // Calls on a connection that went silent are all late, whatever the counter's load; so the rate
  // doesn't have to be found anew.
  if (is_back) {
    calls_per_second_ = std::max(calls_per_second_, kRateAfterDown * rate_before_failures_);
  }
  failures_in_a_row_ = is_ok ? 0 : failures_in_a_row_ + 1;

  // A call that is lost early, by a reset or a reply without a number, shows a fault of its
  // connection and no load of the counter: the rate stays, until the counter is taken as down.
  const bool is_lost_early = reply.outcome == CounterOutcome::kUnknown && !is_slow;
  if (is_lost_early && !is_counter_down()) {
    return;
  }
  congestion_ = is_back
                    ? 0
                    : congestion_ + kCongestionGain *
                                        (congestion_sample(reply.outcome, is_slow) - congestion_);
  adjust_rate();
}

void CounterRateLimiter::adjust_rate() {
  // A rate that grew unused would say nothing of what the counter bears, and all gateways would use
  // it at once.
  const bool is_used = 2 * available_calls_ < capacity();
  if (congestion_ > 0) {
    const double change =
        kRateGain / std::max(1.0, calls_per_second_) * (1 - congestion_ / kTargetCongestion);
    const double factor = 1 + std::clamp(change, -kRateGain, is_used ? kRateGain : 0);
    calls_per_second_ = std::max(kLeastCallsPerSecond, calls_per_second_ * factor);
  } else if (is_used) {
    calls_per_second_ += 1;
  }
}

void CounterRateLimiter::count_reply(CounterOutcome outcome, bool is_slow) {
  switch (outcome) {
    case CounterOutcome::kOk:
      ++counts_.ok;
      break;
    case CounterOutcome::kNotAdded:
      ++counts_.not_added;
      break;
    case CounterOutcome::kUnknown:
      ++(is_slow ? counts_.slow : counts_.lost);
      break;
  }
}

CounterCallCounts CounterRateLimiter::take_call_counts() {
  return std::exchange(counts_, {});
}

}  // namespace quota_gateway::policy
