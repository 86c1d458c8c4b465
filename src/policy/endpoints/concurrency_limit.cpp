#include "policy/endpoints/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Initial and minimum limit, in attempts per endpoint over all gateways together.
constexpr double kMinInFlightPerEndpoint = 2;

// Ratio of the mean response time to the idle one, above which endpoints count as overloaded.
constexpr double kOverloadRatio = 1.6;

// Maximum that one sample counts for, as a multiple of the idle response time.
constexpr double kMaxSampleRatio = 4;

constexpr double kReductionFactor = 0.85;  // at most once per mean response time
constexpr double kIncrement = 0.04;        // attempts per valid sample, while the limit binds

// Standard deviations by which the attempts in flight may exceed the limit for a short time.
constexpr double kBurstDeviations = 2;

// Smoothing per sample. The long-term mean is smoothed more, so that its minimum is not due to
// chance; the idle response time follows this mean down immediately but rises slowly.
constexpr double kResponseTimeGain = 1.0 / 30;
constexpr double kLongTermGain = 1.0 / 150;
constexpr double kIdleRiseGain = 1.0 / 40000;

}  // namespace

double ConcurrencyLimit::limit() const {
  return std::max(
      limit_, kMinInFlightPerEndpoint * std::max(healthy_endpoints_, 1) / settings_.gateway_count);
}

// If there are more gateways than endpoints, the limit can be less than one attempt. A random peak
// in demand may therefore exceed the limit by using capacity that was unused in the last second.
// Pausing after the peak instead would be worse: valuable requests would time out in the queue, and
// the next free capacity would go to whichever request arrived at that time. Attempts within the
// limit are always admitted.
bool ConcurrencyLimit::admits(Micros now) {
  update_unused_capacity(now);
  if (in_flight_ + 1 <= limit()) {
    return true;
  }
  const double burst_limit = 1 + limit() + kBurstDeviations * std::sqrt(limit());
  return unused_capacity_ > 0 && in_flight_ < burst_limit;
}

void ConcurrencyLimit::add_in_flight(Micros now, int attempts) {
  update_unused_capacity(now);
  in_flight_ += attempts;
}

double ConcurrencyLimit::utilization(Micros now) {
  update_unused_capacity(now);
  return 0.5 - 0.5 * unused_capacity_ / limit();
}

void ConcurrencyLimit::on_attempt_complete(Micros now, const ConcurrencySample& sample) {
  if (sample.has_valid_duration) {
    update_response_times(sample.objective_fraction);
  }
  if (sample.overloaded) {
    return;  // by one endpoint, perhaps for one plan only: no sign of general overload
  }
  const bool endpoints_overloaded =
      idle_response_time_ > 0 && response_time_ > kOverloadRatio * idle_response_time_;
  if (endpoints_overloaded) {
    if (static_cast<double>(now - reduced_at_) > sample.mean_response_time) {
      limit_ = limit() * kReductionFactor;
      reduced_at_ = now;
    }
    return;
  }
  const bool limit_binds = unused_capacity_ < 0.5 * limit();
  if (sample.has_valid_duration && limit_binds) {
    limit_ = limit() + kIncrement;
  }
}

void ConcurrencyLimit::update_unused_capacity(Micros now) {
  const double gained =
      (limit() - in_flight_) * static_cast<double>(now - unused_capacity_at_) / kMicrosPerSecond;
  unused_capacity_ = std::clamp(unused_capacity_ + gained, -limit(), limit());
  unused_capacity_at_ = now;
}

void ConcurrencyLimit::update_response_times(double objective_fraction) {
  // Bounds the effect of a few lost or unusually heavy attempts, which are no sign of overload.
  if (idle_response_time_ > 0) {
    objective_fraction = std::min(objective_fraction, kMaxSampleRatio * idle_response_time_);
  }
  const double gain = response_time_ > 0 ? kResponseTimeGain : 1.0;
  response_time_ += gain * (objective_fraction - response_time_);
  ++sample_count_;
  const double long_term_gain = std::max(kLongTermGain, 1.0 / sample_count_);
  long_term_response_time_ += long_term_gain * (objective_fraction - long_term_response_time_);
  if (sample_count_ <= 1 / kResponseTimeGain) {
    return;
  }
  if (idle_response_time_ <= 0) {
    idle_response_time_ = long_term_response_time_;
    return;
  }
  const double raised =
      idle_response_time_ + kIdleRiseGain * (long_term_response_time_ - idle_response_time_);
  idle_response_time_ = std::min(long_term_response_time_, raised);
}

}  // namespace quota_gateway::policy
