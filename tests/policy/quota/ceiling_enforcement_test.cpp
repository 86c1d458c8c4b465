// The rate ceiling of a plan, over one gateway and over several that share a counter: no store of
// the ceiling's size may ever be overdrawn by all of them together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"
#include "support/shared_counter_fleet.hpp"

namespace quota_gateway::testing {
namespace {

// A ceiling of 20 units a second and 40 at once; half of it belongs to each of two gateways.
Settings with_ceiling(Settings settings) {
  set_ceiling(settings, 20, 40);
  return settings;
}

RequestArrived request_of(const std::string& customer, const std::string& id, Micros now) {
  RequestArrived request = make_request(id, now);
  request.customer = customer;
  return request;
}

TEST(RateCeiling, RestartedGatewayTakesItsShareForSpent) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  EXPECT_EQ(gateway.admitted(kMillisecond, 3), 0);
  EXPECT_EQ(gateway.admitted(101 * kMillisecond, 3), 1);  // its share is ten units a second
}

TEST(RateCeiling, CustomerFirstSeenLaterFindsTheShareRefilledSinceTheStart) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  gateway.handle(kSecond, {request_of("c2", "other", kSecond)});
  // The share has refilled by ten units a second since the start.
  EXPECT_EQ(gateway.admitted(1500 * kMillisecond, 10), 5);
  const auto third = gateway.handle(10 * kSecond, {request_of("c3", "third", 10 * kSecond)});
  EXPECT_EQ(attempts(third).size(), 1U);
}

TEST(RateCeiling, RejectedClientIsToldToRetryWhenUnitsAreAvailable) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  const auto rejected = rejections(gateway.arrive(kMillisecond, "r"));
  // The share, ten units a second, is empty at a start; the quota is not.
  ASSERT_EQ(rejected.size(), 1U);
  const Micros retry_after = rejected[0].retry_after.value();
  EXPECT_NEAR(double(retry_after), 100 * kMillisecond, 2 * kMillisecond);
  EXPECT_EQ(attempts(gateway.arrive(2 * kMillisecond + retry_after, "r2")).size(), 1U);
}

TEST(RateCeiling, HoldsWithoutACounter) {
  Settings settings = with_ceiling(basic_settings());
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings);
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) {
    forwarded += gateway.admitted(i * 50 * kMillisecond, 4);
  }
  EXPECT_LE(forwarded, 10 * 5 + 20);
  EXPECT_GE(forwarded, 40);
}

// What gateways that share a counter did to a customer's ceiling.
struct CeilingUse {
  double least_left = 40;  // units that a store of the ceiling's size held at the least
  int forwarded = 0;
  int requested = 0;
};

// Every 50 ms for 12 s, gateway number i gets requests_at[i] requests of one customer, whose quota
// is 1,000 units a second.
CeilingUse use_ceiling(const std::vector<int>& requests_at,
                       CounterOutcome counter_outcome = CounterOutcome::kOk) {
  Settings settings = with_ceiling(settings_with_counter());
  set_quota(settings, 1000, 2000);
  SharedCounterFleet fleet(settings, int(requests_at.size()));
  CeilingUse use;
  double left = 40;
  Micros refilled_at = 0;
  fleet.counter_outcome = counter_outcome;
  fleet.on_forwarded = [&](Micros now) {
    left = std::min(40.0, left + 20 * double(now - refilled_at) / kSecond) - 1;
    refilled_at = now;
    use.least_left = std::min(use.least_left, left);
  };
  for (Micros now = 100 * kMillisecond; now < 12 * kSecond; now += 50 * kMillisecond) {
    for (std::size_t i = 0; i < requests_at.size(); ++i) {
      fleet.send_requests(i, now, requests_at[i]);
    }
  }
  use.forwarded = fleet.forwarded();
  use.requested = fleet.requested();
  return use;
}

TEST(RateCeiling, AllGatewaysTogetherKeepIt) {
  const std::vector<std::vector<int>> distributions{{4, 0, 0, 0}, {2, 2, 2, 2}, {1, 0, 3, 1}};
  for (const auto& requests_at : distributions) {
    const CeilingUse use = use_ceiling(requests_at);
    EXPECT_GE(use.least_left, 0);
    EXPECT_GE(use.forwarded, 20 * 12 / 2);
  }
}

TEST(SharedPool, CustomerOfOneGatewayGetsMoreThanItsEvenShareOfTheCeiling) {
  // It requests twenty a second, all that the ceiling gives; an even share is five.
  const CeilingUse use = use_ceiling({1, 0, 0, 0});
  EXPECT_GE(use.forwarded, use.requested / 2);
  EXPECT_GE(use.least_left, 0);
}

TEST(SharedPool, ReservationThatMayNotHaveBeenAddedIsNotUsed) {
  const CeilingUse use = use_ceiling({4, 4}, CounterOutcome::kUnknown);
  EXPECT_LE(use.forwarded, 0.5 * 20 * 12);  // the even shares alone, which start empty
  EXPECT_GT(use.forwarded, 0);
}

TEST(SharedPool, ReservationIsMadeBeforeATotalIsReadWhereCallsAreScarce) {
  // Without this, reading a total could use up the last call: the request would be within its
  // quota, have no share of the ceiling, and be rejected. Calls are scarce where many gateways
  // share the counter.
  Settings settings = with_ceiling(settings_with_counter());
  settings.gateway_count = 100;
  GatewayHarness gateway(settings);
  int forwarded = 0;
  for (int i = 0; i < 3; ++i) {
    const Micros now = (i + 1) * kMillisecond;
    auto actions = gateway.handle(now, {request_of(numbered("c", i), numbered("r", i), now)});
    for (int calls = 0; calls < 3 && !counter_calls(actions).empty(); ++calls) {
      const AddToCounter call = counter_calls(actions)[0];
      actions = gateway.handle(now + 100 * (calls + 1), {counter_total(call, call.amount, 100)});
    }
    for (const SendAttempt& attempt : attempts(actions)) {
      ++forwarded;
      gateway.complete(now + 500, attempt);
    }
  }
  EXPECT_EQ(forwarded, 3);
}

}  // namespace
}  // namespace quota_gateway::testing
