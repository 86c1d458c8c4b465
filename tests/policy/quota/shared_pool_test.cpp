#include "policy/quota/shared_pool.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::policy {
namespace {

constexpr Micros kSecondUs = 1'000'000;

// A quota of 2 units a second and 10 at once: its pool has 10 units in windows of 5 s.
class PoolLedgerTest : public testing::Test {
 protected:
  PoolLedgerTest() {
    settings_.has_counter = true;
    plan_.quota_rate = 2;
    plan_.quota_burst = 10;
    customer_.plan = &plan_;
    pool_ = quota_pool(plan_);
  }

  bool reserve(Micros now, double units) {
    return ledger_.reserve(now, customer_, pool_, units, 0, actions_);
  }
  const AddToCounter& last_call() const { return std::get<AddToCounter>(actions_.back()); }
  std::optional<PoolReply> reply(Micros now, double total,
                                 CounterOutcome outcome = CounterOutcome::kOk) {
    return ledger_.on_reply(now, CounterReply{last_call().name, total, outcome, 1'000});
  }

  Settings settings_;
  CounterRateLimiter limiter_{settings_};
  PoolLedger ledger_{limiter_};
  PlanSettings plan_;
  CustomerState customer_;
  SharedPool pool_;
  std::vector<Action> actions_;
};

TEST_F(PoolLedgerTest, WhatLiesWithinThePoolIsReservedUntilItsWindowEnds) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_EQ(last_call().amount, 4);
  EXPECT_EQ(last_call().forget_after, 10 * kSecondUs);
  const std::optional<PoolReply> usable = reply(1'000, 9);
  ASSERT_TRUE(usable);
  EXPECT_TRUE(usable->is_usable);
  EXPECT_EQ(pool_.reserved(1'000, customer_), 4);
  EXPECT_EQ(pool_.reserved(5 * kSecondUs - 1, customer_), 4);
  EXPECT_EQ(pool_.reserved(5 * kSecondUs, customer_), 0);
}

TEST_F(PoolLedgerTest, UnitsPastThePoolAreNotReservedAndItIsExhaustedForTheWindow) {
  ASSERT_TRUE(reserve(0, 4));
  reply(1'000, 11);
  EXPECT_EQ(pool_.reserved(1'000, customer_), 3);
  EXPECT_TRUE(pool_.exhausted(1'000, customer_));
  EXPECT_FALSE(reserve(2'000, 1));
  EXPECT_FALSE(pool_.exhausted(5 * kSecondUs, customer_));
  EXPECT_TRUE(reserve(5 * kSecondUs, 1));
}

TEST_F(PoolLedgerTest, AReplyThatFailedOrIsOfAnEarlierWindowReservesNothing) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_FALSE(reply(1'000, 4, CounterOutcome::kUnknown)->is_usable);
  EXPECT_EQ(pool_.reserved(1'000, customer_), 0);
  ASSERT_TRUE(reserve(2'000, 4));
  EXPECT_FALSE(reply(5 * kSecondUs, 4)->is_usable);
  EXPECT_EQ(pool_.reserved(5 * kSecondUs, customer_), 0);
}

TEST_F(PoolLedgerTest, OneCallIsInFlightAtATime) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_TRUE(reserve(0, 4));
  EXPECT_EQ(actions_.size(), 1U);
  EXPECT_TRUE(reply(1'000, 4));
  EXPECT_FALSE(reply(1'000, 4)) << "the reply was used already";
}

TEST_F(PoolLedgerTest, PoolsOfOneCustomerHaveNamesOfTheirOwn) {
  plan_.ceiling_rate = 2;
  plan_.ceiling_burst = 20;
  ASSERT_TRUE(reserve(0, 1));
  const std::int64_t quota_name = last_call().name;
  ASSERT_TRUE(ledger_.reserve(0, customer_, ceiling_pool(plan_), 1, 0, actions_));
  EXPECT_NE(last_call().name, quota_name);
}

}  // namespace
}  // namespace quota_gateway::policy
