// Tests when check_counter_liveness() requests a ping and when it reports an unresponsive counter.
#include "net/counter/counter_liveness.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kReceivedAt = 100'000'000;

TEST(CounterLiveness, AnIdleConnectionIsPingedAfterTwoSeconds) {
  // The counter closes idle connections after at most 10 s.
  EXPECT_EQ(check_counter_liveness(kReceivedAt + 2'000'000, std::nullopt, kReceivedAt),
            CounterLiveness::kAlive);
  EXPECT_EQ(check_counter_liveness(kReceivedAt + 2'000'001, std::nullopt, kReceivedAt),
            CounterLiveness::kIdle);
}

TEST(CounterLiveness, TheCounterIsUnresponsiveOneAndAHalfSecondsAfterACallWithoutAResponse) {
  const Micros called_at = kReceivedAt + 10'000'000;
  EXPECT_EQ(check_counter_liveness(called_at + 1'500'000, called_at, kReceivedAt),
            CounterLiveness::kAlive);
  EXPECT_EQ(check_counter_liveness(called_at + 1'500'001, called_at, kReceivedAt),
            CounterLiveness::kUnresponsive);
}

TEST(CounterLiveness, ResponsesToOtherCallsShowThatTheCounterIsAlive) {
  const Micros called_at = kReceivedAt - 10'000'000;
  EXPECT_EQ(check_counter_liveness(kReceivedAt + 1'500'000, called_at, kReceivedAt),
            CounterLiveness::kAlive);
  EXPECT_EQ(check_counter_liveness(kReceivedAt + 1'500'001, called_at, kReceivedAt),
            CounterLiveness::kUnresponsive);
}

}  // namespace
}  // namespace quota_gateway::net::testing
