// Tests of a plan's rate ceiling at one gateway and at several that share a counter: the units that
// all gateways forward together must never overdraw a token bucket with the ceiling's rate and
// burst.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"
#include "support/shared_counter_fleet.hpp"

namespace quota_gateway::testing {
namespace {

// Sets a ceiling of 20 units per second with a burst of 40. With two gateways and no counter, each
// gateway's even share is half of the ceiling.
Settings with_ceiling(Settings settings) {
  set_ceiling(settings, 20, 40);
  return settings;
}

RequestArrived request_of(const std::string& customer, const std::string& id, Micros now) {
  RequestArrived request = make_request(id, now);
  request.customer = customer;
  return request;
}

TEST(RateCeiling, RestartedGatewayStartsWithAnEmptyShare) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  EXPECT_EQ(gateway.count_admitted(kMillisecond, 3), 0);
  EXPECT_EQ(gateway.count_admitted(101 * kMillisecond, 3),
            1);  // the share refills ten units per second
}

TEST(RateCeiling, ShareOfANewCustomerIsRefilledSinceTheGatewayStarted) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  gateway.handle(kSecond, {request_of("c2", "other", kSecond)});
  // The share has refilled by ten units per second since the start.
  EXPECT_EQ(gateway.count_admitted(1500 * kMillisecond, 10), 5);
  const auto third = gateway.handle(10 * kSecond, {request_of("c3", "third", 10 * kSecond)});
  EXPECT_EQ(attempts(third).size(), 1U);
}

TEST(RateCeiling, RejectedClientIsToldToRetryWhenUnitsAreAvailable) {
  GatewayHarness gateway(with_ceiling(basic_settings()));
  const auto rejected = rejections(gateway.receive_request(kMillisecond, "r"));
  // At the start, the share of ten units per second is empty but the quota is not.
  ASSERT_EQ(rejected.size(), 1U);
  const Micros retry_after = rejected[0].retry_after.value();
  EXPECT_NEAR(double(retry_after), 100 * kMillisecond, 2 * kMillisecond);
  EXPECT_EQ(attempts(gateway.receive_request(2 * kMillisecond + retry_after, "r2")).size(), 1U);
}

TEST(RateCeiling, HoldsWithoutACounter) {
  Settings settings = with_ceiling(basic_settings());
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings);
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) {
    forwarded += gateway.count_admitted(i * 50 * kMillisecond, 4);
  }
  EXPECT_LE(forwarded, 10 * 5 + 20);
  EXPECT_GE(forwarded, 40);
}

// How gateways that share a counter used a customer's ceiling.
struct CeilingUsage {
  double min_tokens_left = 40;  // lowest level of a token bucket with the ceiling's rate and burst
  int forwarded = 0;
  int requested = 0;
};

// Every 50 ms for 12 s, gateway i receives requests_at[i] requests of one customer. The customer's
// quota is 1,000 units per second.
CeilingUsage use_ceiling(const std::vector<int>& requests_at,
                         CounterOutcome counter_outcome = CounterOutcome::kOk) {
  Settings settings = with_ceiling(settings_with_counter());
  set_quota(settings, 1000, 2000);
  SharedCounterFleet fleet(settings, int(requests_at.size()));
  CeilingUsage use;
  double tokens_left = 40;
  Micros refilled_at = 0;
  fleet.counter_outcome = counter_outcome;
  fleet.on_forwarded = [&](Micros now) {
    tokens_left = std::min(40.0, tokens_left + 20 * double(now - refilled_at) / kSecond) - 1;
    refilled_at = now;
    use.min_tokens_left = std::min(use.min_tokens_left, tokens_left);
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

TEST(RateCeiling, AllGatewaysTogetherStayUnderTheCeiling) {
  const std::vector<std::vector<int>> distributions{{4, 0, 0, 0}, {2, 2, 2, 2}, {1, 0, 3, 1}};
  for (const auto& requests_at : distributions) {
    const CeilingUsage use = use_ceiling(requests_at);
    EXPECT_GE(use.min_tokens_left, 0);
    EXPECT_GE(use.forwarded, 20 * 12 / 2);
  }
}

TEST(SharedPool, CustomerOfOneGatewayGetsMoreThanItsEvenShareOfTheCeiling) {
  // The customer requests twenty units per second, the full ceiling. An even share is five.
  const CeilingUsage use = use_ceiling({1, 0, 0, 0});
  EXPECT_GE(use.forwarded, use.requested / 2);
  EXPECT_GE(use.min_tokens_left, 0);
}

TEST(SharedPool, ReservationWithUnknownOutcomeIsNotUsed) {
  const CeilingUsage use = use_ceiling({4, 4}, CounterOutcome::kUnknown);
  EXPECT_LE(use.forwarded, 0.5 * 20 * 12);  // the even shares only, which start empty
  EXPECT_GT(use.forwarded, 0);
}

TEST(SharedPool, ReservationIsMadeBeforeATotalIsReadWhenCallsAreScarce) {
  // Guards against using the last available call for a total. A request within its quota would then
  // have no units of the ceiling and be rejected. Calls are scarce when many gateways share the
  // counter.
  Settings settings = with_ceiling(settings_with_counter());
  settings.gateway_count = 100;
  GatewayHarness gateway(settings);
  int forwarded = 0;
  for (int i = 0; i < 3; ++i) {
    const Micros now = (i + 1) * kMillisecond;
    auto actions =
        gateway.handle(now, {request_of(prefixed_number("c", i), prefixed_number("r", i), now)});
    for (int calls = 0; calls < 3 && !counter_calls(actions).empty(); ++calls) {
      const AddToCounter call = counter_calls(actions)[0];
      actions =
          gateway.handle(now + 100 * (calls + 1), {make_counter_reply(call, call.amount, 100)});
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
