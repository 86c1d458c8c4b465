// Tests of the enforcement of a customer's quota at a gateway: rejections beyond the quota, large
// requests, units billed after the response, and bursts through several gateways at the same time.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "support/gateway_harness.hpp"
#include "support/shared_counter_fleet.hpp"

namespace quota_gateway::testing {
namespace {

TEST(QuotaAllocator, RejectsImmediatelyBeyondTheQuotaShareWithAShortRetryAfter) {
  // Two gateways without a counter, a burst of 20: the gateway may admit twice its even share.
  GatewayHarness gateway;
  int forwarded = 0;
  int rejected = 0;
  for (int i = 0; i < 25; ++i) {
    const auto actions = gateway.receive_request(kMillisecond, prefixed_number("r", i));
    for (const SendAttempt& attempt : attempts(actions)) {
      ++forwarded;
      gateway.complete(kMillisecond, attempt);
    }
    for (const Reject& rejection : rejections(actions)) {
      ++rejected;
      EXPECT_GT(rejection.retry_after, 0);
      EXPECT_LE(rejection.retry_after, 165 * kMillisecond);  // a third of the latency objective
    }
  }
  EXPECT_EQ(forwarded, 20);
  EXPECT_EQ(rejected, 5);
}

TEST(QuotaAllocator, TotalThatShowsABurstElsewhereLowersTheTokens) {
  // Guards against a burst that is spent at another gateway and once more here. A decaying mean of
  // the totals alone would react too late.
  GatewayHarness gateway(settings_with_counter());
  // Replies to the first call of `actions`, if there is one, with `elsewhere` units added at other
  // gateways. Returns whether there was a call.
  const auto reply_total = [&](Micros now, const std::vector<Action>& actions, double elsewhere) {
    const auto calls = counter_calls(actions);
    if (!calls.empty()) {
      gateway.handle(now, {make_counter_reply(calls[0], calls[0].amount + elsewhere)});
    }
    return !calls.empty();
  };
  const Micros start = 1000 * kSecond;
  ASSERT_TRUE(reply_total(start, gateway.receive_request(start, "a"), 0));
  const Micros second_total = start + 1100 * kMillisecond;
  const auto second = gateway.receive_request(second_total, "b");
  // A full burst, and two seconds of refill.
  ASSERT_TRUE(reply_total(second_total, second, 41));
  int forwarded = 0;
  for (int i = 0; i < 10; ++i) {
    forwarded +=
        int(attempts(gateway.receive_request(start + 1101 * kMillisecond, prefixed_number("c", i)))
                .size());
  }
  EXPECT_LE(forwarded, 5);  // this gateway's share of the present demand
}

TEST(QuotaAllocator, LargeRequestsGetNoMoreThanTheQuotaShare) {
  // Eight units every two seconds here and twelve units per second at other gateways: the share is
  // a quarter of the quota, five of every eight units.
  GatewayHarness gateway(settings_with_counter());
  struct Total {
    Micros started_at = 0;
    double added_here = 0;
  };
  std::map<std::int64_t, Total> totals;
  int forwarded = 0;
  for (int i = 0; i < 400; ++i) {
    const Micros now = 1001 * kSecond + i * 2 * kSecond;
    const auto actions = gateway.receive_request(now, prefixed_number("r", i), 8);
    if (i >= 100) {
      forwarded += int(attempts(actions).size());
    }
    for (const SendAttempt& attempt : attempts(actions)) {
      gateway.complete(now, attempt);
    }
    for (const AddToCounter& call : counter_calls(actions)) {
      Total& total = totals.try_emplace(call.key, Total{now - kSecond, 0}).first->second;
      total.added_here += call.amount;
      const double elsewhere = 12.0 * double(now - total.started_at) / double(kSecond);
      gateway.handle(now, {make_counter_reply(call, total.added_here + elsewhere)});
    }
  }
  const int expected = 300 * 5 / 8;
  EXPECT_NEAR(forwarded, expected, 10);
}

TEST(QuotaAllocator, RequestLargerThanTheLocalBucketIsAdmittedIntoDebt) {
  // Guards against rejecting such a request forever, since the bucket can never hold its units.
  Settings settings = basic_settings();
  set_quota(settings, 10, 10);
  settings.gateway_count = 10;
  GatewayHarness gateway(settings);
  RequestArrived large = make_request("r", kMillisecond, 9);
  large.gateway_subset_size = 10;
  // The bucket holds two even shares, two units.
  EXPECT_EQ(attempts(gateway.handle(kMillisecond, {large})).size(), 1U);
  RequestArrived small = make_request("s", kMillisecond, 1);
  small.gateway_subset_size = 10;
  EXPECT_EQ(attempts(gateway.handle(2 * kMillisecond, {small})).size(), 0U);
}

TEST(QuotaAllocator, BilledUnitsAreChargedOnceTheyAreKnown) {
  Settings settings = basic_settings();
  settings.units_settled_later = true;
  GatewayHarness gateway(settings);
  const auto sent = attempts(gateway.receive_request(kMillisecond, "r"));
  AttemptCompleted completed = make_completion(sent.at(0), {.duration = 0});
  completed.billed_units = 11;  // estimated as one
  gateway.handle(2 * kMillisecond, {completed});
  EXPECT_EQ(gateway.count_admitted(3 * kMillisecond, 12), 9);  // the rest of a burst of twenty
}

TEST(QuotaAllocator, BurstThroughAllGatewaysDoesNotSpendTheTokensOncePerGateway) {
  Settings settings = settings_with_counter();
  set_quota(settings, 40, 80);
  SharedCounterFleet fleet(settings, 4);
  for (Micros now = 100 * kMillisecond; now < 3 * kSecond; now += 200 * kMillisecond) {
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.send_requests(i, now, 1);  // half of the quota, evenly distributed
    }
  }
  EXPECT_EQ(fleet.forwarded(), fleet.requested());
  fleet.counter_replies = false;
  const int before = fleet.forwarded();
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.send_requests(i, 3 * kSecond, 100);
  }
  EXPECT_LE(fleet.forwarded() - before, 100);  // the burst is eighty
  EXPECT_GE(fleet.forwarded() - before, 60);
}

}  // namespace
}  // namespace quota_gateway::testing
