// CounterBackoff: how long the counter's client waits before it connects again.
#include "net/counter/counter_backoff.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(CounterBackoff, TheFirstAttemptIsMadeAtOnceAndFurtherOnesGrowFurtherApart) {
  CounterBackoff backoff;
  // At a multiple of all waits, which adds no spread, each wait is three quarters of its base.
  EXPECT_EQ(backoff.next(0), 0);
  EXPECT_EQ(backoff.next(0), 37'500);
  EXPECT_EQ(backoff.next(0), 75'000);
  EXPECT_EQ(backoff.next(0), 150'000);
  EXPECT_EQ(backoff.next(0), 300'000);
  EXPECT_EQ(backoff.next(0), 375'000);
  EXPECT_EQ(backoff.next(0), 375'000);
}

TEST(CounterBackoff, WaitsAreSpreadByTheClock) {
  // Without the spread, gateways that lost the counter together would return together.
  CounterBackoff early;
  CounterBackoff late;
  early.set_longest();
  late.set_longest();
  EXPECT_EQ(early.next(1'000'000), 375'000);
  EXPECT_EQ(late.next(1'249'999), 375'000 + 249'999);
}

TEST(CounterBackoff, AResponseForgetsEarlierFailures) {
  CounterBackoff backoff;
  backoff.set_longest();
  EXPECT_EQ(backoff.next(0), 375'000);
  backoff.reset();
  EXPECT_EQ(backoff.next(0), 0);
  EXPECT_EQ(backoff.next(0), 37'500);
}

}  // namespace
}  // namespace quota_gateway::net::testing
