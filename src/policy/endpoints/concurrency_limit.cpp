#include "policy/endpoints/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Attempts per endpoint, by all gateways together, at the start and at the least.
constexpr double kLeastInFlightPerEndpoint = 2;

// Mean response time over the idle one, above which endpoints hold too much.
constexpr double kOverloadRatio = 1.6;

// Idle response times that one attempt counts for at the most.
constexpr double kOutlierRatio = 4;

constexpr double kReductionFactor = 0.85;  // at most once per mean response time
constexpr double kIncrement = 0.04;        // attempts per good answer, while the limit binds

// Standard deviations that the attempts in flight may be above the limit for a short time.
constexpr double kBurstDeviations = 2;

constexpr double kResponseTimeGain = 1.0 / 30;       // per answer
constexpr double kSlowResponseTimeGain = 1.0 / 150;  // so that its least is not a matter of luck
constexpr double kIdleRiseGain =
    1.0 / 40000;  // per answer; how fast the idle response time may rise

}  // namespace

double ConcurrencyLimit::limit() const {
  return std::max(limit_, kLeastInFlightPerEndpoint * std::max(healthy_endpoints_, 1) /
                              settings_.gateway_count);
}

// With more gateways than endpoints a limit is less than one attempt. When demand by chance asks
// for more, it is paid for by the capacity that was unused in the last second. A pause after it
// would be worse: valuable requests would time out waiting, and the next capacity would go to
// whoever came then. What is within the limit is always admitted.
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
    return;  // by one endpoint, or for one plan there: no sign that all are full
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
  // A few attempts that were lost or far heavier than the rest are no sign of overload.
  if (idle_response_time_ > 0) {
    objective_fraction = std::min(objective_fraction, kOutlierRatio * idle_response_time_);
  }
  const double gain = response_time_ > 0 ? kResponseTimeGain : 1.0;
  response_time_ += gain * (objective_fraction - response_time_);
  ++answers_;
  const double slow_gain = std::max(kSlowResponseTimeGain, 1.0 / answers_);
  slow_response_time_ += slow_gain * (objective_fraction - slow_response_time_);
  if (answers_ <= 1 / kResponseTimeGain) {
    return;
  }
  if (idle_response_time_ <= 0) {
    idle_response_time_ = slow_response_time_;
    return;
  }
  const double risen =
      idle_response_time_ + kIdleRiseGain * (slow_response_time_ - idle_response_time_);
  idle_response_time_ = std::min(slow_response_time_, risen);
}

}  // namespace quota_gateway::policy
