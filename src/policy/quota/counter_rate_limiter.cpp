#include "policy/quota/counter_rate_limiter.hpp"

#include <algorithm>
#include <utility>

#include "policy/time_units.hpp"
#include "util/decaying_mean.hpp"

namespace quota_gateway::policy {
namespace {

// Initial limit of all gateways together, until replies adjust it: calls per second, and calls in
// the bucket.
constexpr double kInitialCalls = 200;
// Minimum initial limit of one gateway.
constexpr double kMinInitialCalls = 2;

// A lower rate would not notice soon enough that the counter has recovered.
constexpr double kMinCallsPerSecond = 1;

// Congestion, the weighted fraction of calls that fail or are slow, at which the rate stays
// constant.
constexpr double kTargetCongestion = 0.2;
// Weight of one reply in the mean congestion.
constexpr double kCongestionGain = 0.1;
// Time constant of the congestion's decay, us. Without the decay, the measured congestion would
// outlast an overload, since the reduced rate leaves few calls to correct it.
constexpr Micros kCongestionDecayTime = kUpdatePeriod;
// Congestion of a call without a reply, where a refused or slow call has 1: the queue that delayed
// this call delays every call.
constexpr double kUnansweredWeight = 5;

// Gain of the rate under congestion: the maximum increase in one second and the maximum decrease by
// one reply, as fractions of the rate.
constexpr double kRateGain = 0.5;
// Minimum rate after an outage, as a fraction of the rate before the failures.
constexpr double kRateAfterDown = 0.5;

// Number of consecutive failed calls after which the counter is considered down.
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
  return std::max(kMinInitialCalls, kInitialCalls / std::max(1, settings_.gateway_count));
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
  return consecutive_failures_ >= kDownAfterFailures;
}

// An overloaded counter replies to almost no call in time. All gateways observe this in the same
// way and reduce their rates in the same way.
void CounterRateLimiter::on_reply(Micros now, const CounterReply& reply) {
  congestion_ *= decay_factor(now - std::exchange(congestion_at_, now), kCongestionDecayTime);
  const bool is_ok = reply.outcome == CounterOutcome::kOk;
  const bool has_recovered = is_ok && is_counter_down();
  const bool is_slow = 2 * reply.duration > settings_.counter_timeout;
  count_reply(reply.outcome, is_slow);
  if (consecutive_failures_ == 0) {
    rate_before_failures_ = calls_per_second_;
  }
  // When a connection goes silent, all its calls time out regardless of the counter's load. The
  // rate therefore resumes near its value before the failures.
  if (has_recovered) {
    calls_per_second_ = std::max(calls_per_second_, kRateAfterDown * rate_before_failures_);
  }
  consecutive_failures_ = is_ok ? 0 : consecutive_failures_ + 1;

  // A call that is lost early, by a connection reset or a reply without a number, indicates a fault
  // of its connection and not load on the counter. Such calls do not change the rate until the
  // counter is considered down.
  const bool is_lost_early = reply.outcome == CounterOutcome::kUnknown && !is_slow;
  if (is_lost_early && !is_counter_down()) {
    return;
  }
  congestion_ = has_recovered
                    ? 0
                    : congestion_ + kCongestionGain *
                                        (congestion_sample(reply.outcome, is_slow) - congestion_);
  adjust_rate();
}

void CounterRateLimiter::adjust_rate() {
  // An unused rate must not grow: the replies would not show that the counter can serve it, and all
  // gateways might start to use it at the same time.
  const bool is_used = 2 * available_calls_ < capacity();
  if (congestion_ > 0) {
    const double change =
        kRateGain / std::max(1.0, calls_per_second_) * (1 - congestion_ / kTargetCongestion);
    const double factor = 1 + std::clamp(change, -kRateGain, is_used ? kRateGain : 0);
    calls_per_second_ = std::max(kMinCallsPerSecond, calls_per_second_ * factor);
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
