// Tests of a gateway's use of the shared counter: when the gateway calls the counter, how it uses a
// customer's total, and how it acts without a total.
#include <gtest/gtest.h>

#include <vector>

#include "support/gateway_harness.hpp"
#include "support/quota_share_trial.hpp"

namespace quota_gateway::testing {
namespace {

double forwarded_fraction(const QuotaLoad& load) {
  return run_quota_share_trial(load).forwarded_fraction;
}

TEST(QuotaAllocator, QuotaIsSharedByDemandOnceTheTotalReachesIt) {
  // The share is a quarter of the quota of ten units per second; the gateway receives twelve.
  EXPECT_NEAR(forwarded_fraction({.others_rate = 36}), 10.0 / 48, 0.06);
  EXPECT_NEAR(forwarded_fraction({.others_rate = 0}), 10.0 / 12, 0.06);
}

TEST(QuotaAllocator, OneOfAHundredGatewaysForwardsItsShareOfTheQuota) {
  // The gateway receives five of the customer's 45 units per second, with a hundred gateways and a
  // quota of ten.
  EXPECT_NEAR(forwarded_fraction({.own_rate = 5, .others_rate = 40, .gateway_count = 100}),
              10.0 / 45, 0.08);
  // The gateway forwards almost all requests while the customer is within its quota.
  EXPECT_GT(forwarded_fraction({.own_rate = 2, .others_rate = 2, .gateway_count = 100}), 0.95);
}

TEST(CounterSync, LastTotalsStayInUseWhileTheCounterFails) {
  for (const CounterOutcome fault : {CounterOutcome::kUnknown, CounterOutcome::kNotAdded}) {
    EXPECT_NEAR(forwarded_fraction({.others_rate = 36, .counter_fault = fault, .fault_from = 8}),
                10.0 / 48, 0.08);
  }
}

TEST(CounterSync, ShareIsEvenWithoutAnyTotal) {
  EXPECT_NEAR(forwarded_fraction({.others_rate = 36, .counter_fault = CounterOutcome::kNotAdded}),
              5.0 / 12, 0.1);
  EXPECT_LT(
      forwarded_fraction(
          {.others_rate = 36, .gateway_count = 100, .counter_fault = CounterOutcome::kNotAdded}),
      0.05);
}

TEST(CounterSync, TotalOfACounterThatLostItsCountsIsIgnored) {
  // A total below the gateway's own additions proves that the counter lost counts. If the gateway
  // used this total, it would take the full quota for itself.
  EXPECT_NEAR(forwarded_fraction({.others_rate = 36, .counter_loses_totals = true}), 10.0 / 48,
              0.08);
}

TEST(CounterSync, NoCallsAreMadeWithoutRequests) {
  GatewayHarness gateway(settings_with_counter());
  gateway.run_timers(5 * kSecond);
  EXPECT_TRUE(counter_calls(gateway.actions()).empty());
}

TEST(CounterSync, FirstRequestOfACustomerWaitsForItsTotalNoLongerThanTheTimeout) {
  GatewayHarness gateway(settings_with_counter());
  const auto actions = gateway.receive_request(100 * kMillisecond, "r");
  const auto calls = counter_calls(actions);
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(calls[0].amount, 1);
  EXPECT_LE(calls[0].time_to_live, 60 * kSecond);
  EXPECT_TRUE(attempts(actions).empty());
  // The counter has not replied.
  EXPECT_EQ(attempts(gateway.run_timers(160 * kMillisecond)).size(), 1U);
}

TEST(CounterSync, GatewaysUseTheSameKeys) {
  GatewayHarness one(settings_with_counter(), make_endpoints({"a"}), 1);
  GatewayHarness two(settings_with_counter(), make_endpoints({"a"}), 2);
  const auto calls_of_one = counter_calls(one.receive_request(kSecond, "r"));
  const auto calls_of_two = counter_calls(two.receive_request(1050 * kMillisecond, "r"));
  ASSERT_EQ(calls_of_one.size(), 1U);
  ASSERT_EQ(calls_of_two.size(), 1U);
  EXPECT_EQ(calls_of_one[0].key, calls_of_two[0].key);
}

TEST(CounterSync, FastSpendingIsReportedSooner) {
  GatewayHarness gateway(settings_with_counter());
  int calls = 0;
  const Micros start = 1000 * kSecond;
  for (Micros now = start; now < start + kSecond; now += 50 * kMillisecond) {
    for (const AddToCounter& call :
         counter_calls(gateway.receive_request(now, prefixed_number("r", now)))) {
      ++calls;
      gateway.handle(now + kMillisecond, {make_counter_reply(call, calls)});
    }
  }
  EXPECT_GE(calls, 4);
}

}  // namespace
}  // namespace quota_gateway::testing
