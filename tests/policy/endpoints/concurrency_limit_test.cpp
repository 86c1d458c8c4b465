// Tests of the limit on the number of attempts that a gateway has in flight.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(ConcurrencyLimit, RequestCountsOnlyOnceItsBodyHasBeenSent) {
  Settings settings = basic_settings();  // two gateways and one server: one attempt in flight each
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings, make_endpoints({"a"}));
  const auto forwarded = [&](Micros now, const std::string& id) {
    return attempts(gateway.receive_request(now, id)).size();
  };
  std::size_t with_pending_body = 0;
  for (int i = 0; i < 5; ++i) {
    RequestArrived request = make_request(prefixed_number("long", i), kMillisecond);
    request.body_pending = true;
    with_pending_body += attempts(gateway.handle(kMillisecond, {request})).size();
  }
  EXPECT_EQ(with_pending_body, 5U);
  EXPECT_EQ(forwarded(2 * kMillisecond, "short"), 1U);
  gateway.complete(3 * kMillisecond, {.id = "short", .server = "a"});

  for (int i = 0; i < 5; ++i) {
    gateway.handle(4 * kMillisecond, {AttemptWritten{prefixed_number("long", i), 0}});
  }
  EXPECT_EQ(forwarded(5 * kMillisecond, "next"), 0U);
}

TEST(ConcurrencyLimit, ServersAreNotSentMoreThanTheirCapacity) {
  Settings settings = basic_settings();
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings);
  std::size_t forwarded = 0;
  for (int i = 0; i < 200; ++i) {
    forwarded += attempts(gateway.receive_request(kMillisecond, prefixed_number("r", i))).size();
  }
  EXPECT_LE(forwarded, 8U);  // five per server, divided between two gateways
  // A request is rejected immediately if too many requests wait ahead of it for it to be forwarded
  // in time. The other requests that are not forwarded are rejected after a wait.
  const std::size_t rejected_at_once = rejections(gateway.actions()).size();
  EXPECT_GE(rejected_at_once, 150U);
  EXPECT_LT(rejected_at_once + forwarded, 200U);
  gateway.run_timers(2 * kSecond);
  EXPECT_EQ(rejections(gateway.actions()).size() + forwarded, 200U);
}

TEST(ConcurrencyLimit, SlowResponsesToABurstDoNotLowerTheLimitBelowTheEvenShare) {
  GatewayHarness gateway;
  std::vector<SendAttempt> sent;
  for (int i = 0; i < 8; ++i) {
    for (const SendAttempt& attempt :
         attempts(gateway.receive_request(kMillisecond, prefixed_number("r", i)))) {
      sent.push_back(attempt);
    }
  }
  ASSERT_GE(sent.size(), 6U);  // an even share is at least three of six
  for (std::size_t i = 2; i < sent.size(); ++i) {
    gateway.complete(450 * kMillisecond, sent[i], {.duration = 449 * kMillisecond});
  }
  EXPECT_EQ(attempts(gateway.receive_request(451 * kMillisecond, "next")).size(), 1U);
}

TEST(ConcurrencyLimit, MoreGatewaysThanServersStillAllowTwoAttemptsInFlight) {
  Settings settings = settings_with_unlimited_quota();
  settings.gateway_count = 300;
  GatewayHarness gateway(settings);
  EXPECT_EQ(attempts(gateway.receive_request(kSecond, "one")).size(), 1U);
  EXPECT_EQ(attempts(gateway.receive_request(kSecond, "two")).size(), 1U);
}

}  // namespace
}  // namespace quota_gateway::testing
