// Tests of sample statistics, slope sizes and time budgets.
#include "measure.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

using Counts = std::vector<std::size_t>;

TEST(Percentile, IsTheSmallestSampleThatTheFractionOfSamplesDoesNotExceed) {
  const std::vector<double> samples = {40, 10, 30, 20};
  EXPECT_DOUBLE_EQ(percentile(samples, 0), 10);
  EXPECT_DOUBLE_EQ(percentile(samples, 0.25), 10);
  EXPECT_DOUBLE_EQ(percentile(samples, 0.26), 20);
  EXPECT_DOUBLE_EQ(median(samples), 20);
  EXPECT_DOUBLE_EQ(p99(samples), 40);
  EXPECT_DOUBLE_EQ(largest(samples), 40);
}

TEST(Percentile, OfNoSamplesIs0) {
  EXPECT_DOUBLE_EQ(median({}), 0);
  EXPECT_DOUBLE_EQ(largest({}), 0);
}

TEST(SlopeSizes, GrowTenfoldUpToTheLargest) {
  EXPECT_EQ(sizes_up_to(170'000), (Counts{170, 1'700, 17'000, 170'000}));
}

TEST(SlopeSizes, OmitDuplicatesAfterRounding) {
  EXPECT_EQ(sizes_up_to(20), (Counts{1, 2, 20}));
  EXPECT_EQ(sizes_up_to(1), (Counts{1}));
}

TEST(SlopeSizes, OfServersEndAtTheGivenNumber) {
  Options options;
  EXPECT_EQ(server_counts(options).back(), Target{}.servers);
  options.servers = 5'000;
  EXPECT_EQ(server_counts(options), (Counts{5, 50, 500, 5'000}));
}

TEST(SlopeSizes, AnInfiniteEstimateIsLimitedTo1e18) {
  EXPECT_EQ(to_bytes(1'500.7), 1'500U);
  EXPECT_EQ(to_bytes(std::numeric_limits<double>::infinity()), std::uint64_t(1e18));
}

TEST(TimeBudget, UsesTheOptionOrElseTheDefaultOfTheScenario) {
  Options options;
  EXPECT_NEAR(TimeBudget(options, 100).seconds_left(), 100, 10);
  options.seconds = 1'000;
  EXPECT_NEAR(TimeBudget(options, 100).seconds_left(), 1'000, 10);
}

TEST(TimeBudget, IsExhaustedOnceItsTimeIsUp) {
  EXPECT_FALSE(TimeBudget(Options{}, 100).is_exhausted());
  EXPECT_TRUE(TimeBudget(Options{}, 0).is_exhausted());
}

}  // namespace
}  // namespace quota_gateway::scale
