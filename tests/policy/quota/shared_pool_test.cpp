// Unit tests of PoolLedger and of the pool of a quota.
#include "policy/quota/shared_pool.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::policy {
namespace {

constexpr Micros kSecondUs = 1'000'000;

// A quota of 2 units per second with a burst of 10: the pool has 10 units in each window of 5 s.
class PoolLedgerTest : public testing::Test {
 protected:
  PoolLedgerTest() {
    settings.has_counter = true;
    plan.quota_rate = 2;
    plan.quota_burst = 10;
    customer.plan = &plan;
    pool = quota_pool(plan);
  }

  bool reserve(Micros now, double units) {
    return ledger.reserve(now, customer, pool, units, 0, actions);
  }
  const AddToCounter& last_call() const { return std::get<AddToCounter>(actions.back()); }
  std::optional<PoolReply> reply(Micros now, double total,
                                 CounterOutcome outcome = CounterOutcome::kOk) {
    return ledger.on_reply(now, CounterReply{last_call().key, total, outcome, 1'000});
  }

  Settings settings;
  CounterRateLimiter limiter{settings};
  PoolLedger ledger{limiter};
  PlanSettings plan;
  CustomerState customer;
  SharedPool pool;
  std::vector<Action> actions;
};

TEST_F(PoolLedgerTest, UnitsWithinThePoolAreReservedUntilTheWindowEnds) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_EQ(last_call().amount, 4);
  EXPECT_EQ(last_call().time_to_live, 10 * kSecondUs);
  const std::optional<PoolReply> usable = reply(1'000, 9);
  ASSERT_TRUE(usable);
  EXPECT_TRUE(usable->is_usable);
  EXPECT_EQ(pool.reserved(1'000, customer), 4);
  EXPECT_EQ(pool.reserved(5 * kSecondUs - 1, customer), 4);
  EXPECT_EQ(pool.reserved(5 * kSecondUs, customer), 0);
}

TEST_F(PoolLedgerTest, UnitsBeyondThePoolAreNotReservedAndThePoolIsExhaustedForTheWindow) {
  ASSERT_TRUE(reserve(0, 4));
  reply(1'000, 11);
  EXPECT_EQ(pool.reserved(1'000, customer), 3);
  EXPECT_TRUE(pool.exhausted(1'000, customer));
  EXPECT_FALSE(reserve(2'000, 1));
  EXPECT_FALSE(pool.exhausted(5 * kSecondUs, customer));
  EXPECT_TRUE(reserve(5 * kSecondUs, 1));
}

TEST_F(PoolLedgerTest, FailedReplyOrReplyOfAnEarlierWindowReservesNothing) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_FALSE(reply(1'000, 4, CounterOutcome::kUnknown)->is_usable);
  EXPECT_EQ(pool.reserved(1'000, customer), 0);
  ASSERT_TRUE(reserve(2'000, 4));
  EXPECT_FALSE(reply(5 * kSecondUs, 4)->is_usable);
  EXPECT_EQ(pool.reserved(5 * kSecondUs, customer), 0);
}

TEST_F(PoolLedgerTest, OneCallIsInFlightAtATime) {
  ASSERT_TRUE(reserve(0, 4));
  EXPECT_TRUE(reserve(0, 4));
  EXPECT_EQ(actions.size(), 1U);
  EXPECT_TRUE(reply(1'000, 4));
  EXPECT_FALSE(reply(1'000, 4)) << "a second reply to the same call must be ignored";
}

TEST_F(PoolLedgerTest, PoolsOfOneCustomerHaveDifferentKeys) {
  plan.ceiling_rate = 2;
  plan.ceiling_burst = 20;
  ASSERT_TRUE(reserve(0, 1));
  const std::int64_t quota_key = last_call().key;
  ASSERT_TRUE(ledger.reserve(0, customer, ceiling_pool(plan), 1, 0, actions));
  EXPECT_NE(last_call().key, quota_key);
}

}  // namespace
}  // namespace quota_gateway::policy
