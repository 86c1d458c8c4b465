// Tests of CounterTotals: the fake counter's totals by key and their expiry.
#include "counter_totals.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::scale {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 7 * kSecond;

TEST(CounterTotalsTest, AddsByKey) {
  CounterTotals totals(kStart);
  EXPECT_DOUBLE_EQ(totals.add("a", 2, kSecond, kStart), 2);
  EXPECT_DOUBLE_EQ(totals.add("b", 5, kSecond, kStart), 5);
  EXPECT_DOUBLE_EQ(totals.add("a", -0.5, kSecond, kStart), 1.5);
  EXPECT_EQ(totals.size(), 2U);
}

TEST(CounterTotalsTest, TotalExpiresOneLifetimeAfterItsFirstAddition) {
  CounterTotals totals(kStart);
  totals.add("a", 1, 2 * kSecond, kStart);
  // A later addition does not extend the lifetime.
  EXPECT_DOUBLE_EQ(totals.add("a", 1, 60 * kSecond, kStart + 2 * kSecond - 1), 2);
  EXPECT_DOUBLE_EQ(totals.add("a", 1, kSecond, kStart + 2 * kSecond), 1);
}

TEST(CounterTotalsTest, SweepRemovesOnlyExpiredTotals) {
  CounterTotals totals(kStart);
  totals.add("short", 1, kSecond, kStart);
  totals.add("long", 1, CounterTotals::kMaxLifetime, kStart);
  totals.sweep(kStart + kSecond - 1);
  EXPECT_EQ(totals.size(), 2U);
  totals.sweep(kStart + 2 * kSecond);
  EXPECT_EQ(totals.size(), 1U);
  totals.sweep(kStart + CounterTotals::kMaxLifetime);
  EXPECT_EQ(totals.size(), 1U);
  totals.sweep(kStart + CounterTotals::kMaxLifetime + kSecond);
  EXPECT_EQ(totals.size(), 0U);
}

TEST(CounterTotalsTest, SweepKeepsAKeyThatWasAddedAgainAfterExpiry) {
  CounterTotals totals(kStart);
  totals.add("a", 1, kSecond, kStart);
  totals.add("a", 1, 10 * kSecond, kStart + kSecond);
  totals.sweep(kStart + 3 * kSecond);
  EXPECT_EQ(totals.size(), 1U);
  totals.sweep(kStart + 12 * kSecond);
  EXPECT_EQ(totals.size(), 0U);
}

}  // namespace
}  // namespace quota_gateway::scale
