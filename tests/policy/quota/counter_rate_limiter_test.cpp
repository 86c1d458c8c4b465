// Unit tests of CounterRateLimiter. counter_call_rate_test.cpp tests the resulting call rates.
#include "policy/quota/counter_rate_limiter.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::policy {
namespace {

constexpr Micros kSecondUs = 1'000'000;

Settings settings_for(int gateway_count) {
  Settings settings;
  settings.has_counter = true;
  settings.gateway_count = gateway_count;
  settings.counter_timeout = 50'000;
  return settings;
}

CounterReply reply(CounterOutcome outcome, Micros duration) {
  CounterReply reply;
  reply.outcome = outcome;
  reply.duration = duration;
  return reply;
}

TEST(CounterRateLimiter, GatewaysShareTheInitialCallsEvenly) {
  const Settings settings = settings_for(20);
  CounterRateLimiter limiter(settings);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(limiter.try_acquire(0, 0));
  }
  EXPECT_FALSE(limiter.try_acquire(0, 0));
  EXPECT_TRUE(limiter.try_acquire(kSecondUs / 10, 0));
  EXPECT_FALSE(limiter.try_acquire(kSecondUs / 10, 0));
}

TEST(CounterRateLimiter, OverdraftTakesFutureCalls) {
  const Settings settings = settings_for(20);
  CounterRateLimiter limiter(settings);
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(limiter.try_acquire(0, 1));
  }
  EXPECT_FALSE(limiter.try_acquire(0, 1));
}

TEST(CounterRateLimiter, NoCallsAreAvailableWithoutACounter) {
  Settings settings = settings_for(1);
  settings.has_counter = false;
  CounterRateLimiter limiter(settings);
  EXPECT_FALSE(limiter.try_acquire(0, 1));
}

TEST(CounterRateLimiter, CounterIsDownAfterSixConsecutiveFailuresUntilItReplies) {
  const Settings settings = settings_for(1);
  CounterRateLimiter limiter(settings);
  for (int i = 0; i < 5; ++i) {
    limiter.on_reply(0, reply(CounterOutcome::kUnknown, 50'000));
  }
  EXPECT_FALSE(limiter.is_counter_down());
  limiter.on_reply(0, reply(CounterOutcome::kUnknown, 50'000));
  EXPECT_TRUE(limiter.is_counter_down());
  EXPECT_FALSE(limiter.try_acquire(0, 1));
  limiter.on_reply(0, reply(CounterOutcome::kOk, 1'000));
  EXPECT_FALSE(limiter.is_counter_down());
}

TEST(CounterRateLimiter, RateAfterAnOutageIsAtLeastHalfOfTheRateBefore) {
  const Settings settings = settings_for(1);
  CounterRateLimiter limiter(settings);
  for (int i = 0; i < 500; ++i) {
    limiter.on_reply(0, reply(CounterOutcome::kUnknown, 50'000));
  }
  EXPECT_LT(limiter.calls_per_second(), 100);
  limiter.on_reply(0, reply(CounterOutcome::kOk, 1'000));
  EXPECT_EQ(limiter.calls_per_second(), 100);
}

TEST(CounterRateLimiter, SlowRepliesLowerTheRateAndEarlyLossesDoNot) {
  const Settings settings = settings_for(1);
  CounterRateLimiter slow(settings);
  CounterRateLimiter lost(settings);
  for (int i = 0; i < 5; ++i) {
    slow.on_reply(0, reply(CounterOutcome::kOk, 40'000));
    lost.on_reply(0, reply(CounterOutcome::kUnknown, 1'000));
  }
  EXPECT_LT(slow.calls_per_second(), 200);
  EXPECT_EQ(lost.calls_per_second(), 200);
}

TEST(CounterRateLimiter, TakingTheCallCountsResetsThem) {
  const Settings settings = settings_for(1);
  CounterRateLimiter limiter(settings);
  limiter.on_reply(0, reply(CounterOutcome::kOk, 1'000));
  limiter.on_reply(0, reply(CounterOutcome::kNotAdded, 1'000));
  limiter.on_reply(0, reply(CounterOutcome::kUnknown, 1'000));
  limiter.on_reply(0, reply(CounterOutcome::kUnknown, 50'000));
  const CounterCallCounts counts = limiter.take_call_counts();
  EXPECT_EQ(counts.ok, 1);
  EXPECT_EQ(counts.not_added, 1);
  EXPECT_EQ(counts.lost, 1);
  EXPECT_EQ(counts.slow, 1);
  EXPECT_EQ(limiter.take_call_counts().ok, 0);
}

}  // namespace
}  // namespace quota_gateway::policy
