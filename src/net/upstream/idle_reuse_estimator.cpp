#include "net/upstream/idle_reuse_estimator.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// us; the estimate never falls below this, whatever resets were seen.
constexpr Micros kMinIdle = 100'000;
// After a reset: factor on the idle time that preceded it.
constexpr double kResetFactor = 0.5;
// After a response on a connection that had been idle for more than half of the estimate.
constexpr double kGrowthFactor = 1.05;
// Fraction of the servers' idle limit. They may close connections somewhat earlier.
constexpr double kIdleLimitFraction = 0.4;

}  // namespace

IdleReuseEstimator::IdleReuseEstimator(Micros server_idle_timeout)
    : upper_bound_(kIdleLimitFraction * double(server_idle_timeout)),
      max_idle_(Micros(upper_bound_)) {}

void IdleReuseEstimator::on_response(Micros idle_time) {
  if (idle_time == 0 || 2 * idle_time <= max_idle_) {
    return;
  }
  max_idle_ = Micros(std::min(upper_bound_, kGrowthFactor * double(max_idle_)));
}

void IdleReuseEstimator::on_reset(Micros idle_time) {
  if (idle_time == 0) {
    return;
  }
  const auto shortest = double(std::min(max_idle_, idle_time));
  max_idle_ = std::max(kMinIdle, Micros(kResetFactor * shortest));
}

}  // namespace quota_gateway::net
