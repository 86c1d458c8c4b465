#include "net/upstream/idle_reuse_estimator.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// Lower bound of the estimate, regardless of resets.
constexpr Micros kMinIdle = 100'000;  // us
// After a reset, the estimate becomes the preceding idle time, or the estimate if that is shorter,
// times this factor.
constexpr double kResetFactor = 0.5;
// The estimate is multiplied by this factor after a response on a connection that had been idle for
// more than half of the estimate.
constexpr double kGrowthFactor = 1.05;
// Upper bound of the estimate as a fraction of the servers' idle timeout. Servers may close
// connections somewhat earlier than that timeout.
constexpr double kIdleTimeoutFraction = 0.4;

}  // namespace

IdleReuseEstimator::IdleReuseEstimator(Micros server_idle_timeout)
    : upper_bound_(kIdleTimeoutFraction * double(server_idle_timeout)),
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
