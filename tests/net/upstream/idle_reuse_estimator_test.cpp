// Tests how responses and resets change the maximum idle time.
#include "net/upstream/idle_reuse_estimator.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kServerIdleTimeout = 15'000'000;
constexpr Micros kInitialMaxIdle = 6'000'000;

TEST(IdleReuseEstimatorTest, StartsBelowTheServersIdleTimeoutAndNeverExceedsTheInitialValue) {
  IdleReuseEstimator estimator(kServerIdleTimeout);
  EXPECT_EQ(estimator.max_idle(), kInitialMaxIdle);
  estimator.on_response(kInitialMaxIdle);
  EXPECT_EQ(estimator.max_idle(), kInitialMaxIdle);
}

TEST(IdleReuseEstimatorTest, HalvesTheShorterOfEstimateAndIdleTimeOnAReset) {
  IdleReuseEstimator estimator(kServerIdleTimeout);
  estimator.on_reset(2'000'000);
  EXPECT_EQ(estimator.max_idle(), 1'000'000);
  estimator.on_reset(9'000'000);
  EXPECT_EQ(estimator.max_idle(), 500'000);
}

TEST(IdleReuseEstimatorTest, NeverFallsBelow100Milliseconds) {
  IdleReuseEstimator estimator(kServerIdleTimeout);
  estimator.on_reset(1);
  EXPECT_EQ(estimator.max_idle(), 100'000);
}

TEST(IdleReuseEstimatorTest, GrowsBy5PercentOnlyOnAResponseAfterMoreThanHalfTheEstimate) {
  IdleReuseEstimator estimator(kServerIdleTimeout);
  estimator.on_reset(2'000'000);
  estimator.on_response(500'000);
  EXPECT_EQ(estimator.max_idle(), 1'000'000);
  estimator.on_response(500'001);
  EXPECT_EQ(estimator.max_idle(), 1'050'000);
}

TEST(IdleReuseEstimatorTest, LearnsNothingFromAConnectionsFirstRequest) {
  IdleReuseEstimator estimator(kServerIdleTimeout);
  estimator.on_reset(0);
  estimator.on_response(0);
  EXPECT_EQ(estimator.max_idle(), kInitialMaxIdle);
}

}  // namespace
}  // namespace quota_gateway::net::testing
