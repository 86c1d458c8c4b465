// Tests the waits that CounterBackoff computes between attempts to connect.
#include "net/counter/counter_backoff.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(CounterBackoff, FirstWaitIsZeroAndLaterWaitsGrowToAMaximum) {
  CounterBackoff backoff;
  // At time 0 the jitter is zero, and each wait is three quarters of its base.
  EXPECT_EQ(backoff.next(0), 0);
  EXPECT_EQ(backoff.next(0), 37'500);
  EXPECT_EQ(backoff.next(0), 75'000);
  EXPECT_EQ(backoff.next(0), 150'000);
  EXPECT_EQ(backoff.next(0), 300'000);
  EXPECT_EQ(backoff.next(0), 375'000);
  EXPECT_EQ(backoff.next(0), 375'000);
}

TEST(CounterBackoff, JitterDependsOnTheClock) {
  // Without jitter, gateways that lose the counter at the same time would reconnect at the same
  // time.
  CounterBackoff early;
  CounterBackoff late;
  early.use_max_wait();
  late.use_max_wait();
  EXPECT_EQ(early.next(1'000'000), 375'000);
  EXPECT_EQ(late.next(1'249'999), 375'000 + 249'999);
}

TEST(CounterBackoff, ResetMakesTheNextWaitZero) {
  CounterBackoff backoff;
  backoff.use_max_wait();
  EXPECT_EQ(backoff.next(0), 375'000);
  backoff.reset();
  EXPECT_EQ(backoff.next(0), 0);
  EXPECT_EQ(backoff.next(0), 37'500);
}

}  // namespace
}  // namespace quota_gateway::net::testing
