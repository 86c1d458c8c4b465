// Tests that attempts at a server without progress are cancelled and sent elsewhere, early enough
// for a response within the latency objective.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(StalledAttempts, StalledAttemptIsSentElsewhereBeforeTheLatencyObjective) {
  GatewayHarness gateway;
  for (int i = 0; i < 10; ++i) {
    const auto usual = attempts(gateway.receive_request(i * kSecond, prefixed_number("usual", i)));
    gateway.complete(i * kSecond, usual.at(0), {.duration = 20 * kMillisecond});
  }
  const auto stalled = attempts(gateway.receive_request(10 * kSecond, "r"));
  const auto actions = gateway.run_timers(10 * kSecond + 450 * kMillisecond);
  ASSERT_EQ(cancellations(actions).size(), 1U);
  const auto retries = attempts(gateway.complete(10 * kSecond + 451 * kMillisecond, stalled.at(0),
                                                 {.outcome = Outcome::kCancelled}));
  ASSERT_EQ(retries.size(), 1U);
  EXPECT_NE(retries[0].server, stalled[0].server);
}

TEST(StalledAttempts, OneFastAnswerDoesNotMakeTheNextRequestLookStalled) {
  // A short mean response time after one cheap request must not make the gateway cancel every
  // request that takes longer.
  GatewayHarness gateway;
  const auto first = attempts(gateway.receive_request(0, "first"));
  gateway.complete(0, first.at(0), {.duration = 2 * kMillisecond});
  EXPECT_EQ(attempts(gateway.receive_request(kMillisecond, "r")).size(), 1U);
  EXPECT_EQ(cancellations(gateway.run_timers(200 * kMillisecond)).size(), 0U);
}

}  // namespace
}  // namespace quota_gateway::testing
