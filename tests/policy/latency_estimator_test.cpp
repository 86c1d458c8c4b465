// Tests the mean and expected response times that LatencyEstimator derives from attempts and units.
#include "policy/latency_estimator.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::policy {
namespace {

constexpr Micros kObjective = 600'000;

TEST(LatencyEstimator, MeanIsASixthOfTheObjectiveBeforeTheFirstSuccess) {
  LatencyEstimator estimator(kObjective);
  EXPECT_DOUBLE_EQ(estimator.mean(), 100'000);
  estimator.set_latency_objective(300'000);
  EXPECT_DOUBLE_EQ(estimator.mean(), 50'000);
}

TEST(LatencyEstimator, InitialGuessCountsAsFourSuccesses) {
  LatencyEstimator estimator(kObjective);
  estimator.on_success(50'000);
  EXPECT_DOUBLE_EQ(estimator.mean(), (4 * 100'000 + 50'000) / 5.0);
}

TEST(LatencyEstimator, AdaptsAfterManySuccesses) {
  LatencyEstimator estimator(kObjective);
  for (int i = 0; i < 10'000; ++i) {
    estimator.on_success(50'000);
  }
  EXPECT_NEAR(estimator.mean(), 50'000, 1);
  estimator.on_success(100'000);
  EXPECT_NEAR(estimator.mean(), 51'000, 1);  // a fiftieth of the difference
}

TEST(LatencyEstimator, KeepsMeasurementsWhenTheObjectiveChanges) {
  LatencyEstimator estimator(kObjective);
  estimator.on_success(50'000);
  const double mean = estimator.mean();
  estimator.set_latency_objective(60'000);
  EXPECT_DOUBLE_EQ(estimator.mean(), mean);
}

TEST(LatencyEstimator, ExpectsLongerResponseTimesOfLargerRequests) {
  LatencyEstimator estimator(kObjective);
  EXPECT_DOUBLE_EQ(estimator.expected(10), estimator.mean());  // the mean units are unknown
  estimator.on_request(2);
  EXPECT_DOUBLE_EQ(estimator.expected(4), 2 * estimator.mean());
  EXPECT_DOUBLE_EQ(estimator.expected(0), estimator.mean());  // the size is unknown
  estimator.on_request(4);
  EXPECT_DOUBLE_EQ(estimator.expected(2.04), estimator.mean());
}

}  // namespace
}  // namespace quota_gateway::policy
