// Unit tests of the checks and charges of a LocalBudget.
#include "policy/quota/local_budget.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::policy {
namespace {

PlanSettings ten_units_per_second() {
  PlanSettings plan;
  plan.quota_rate = 10;
  plan.quota_burst = 20;
  return plan;
}

CustomerState customer_with(const PlanSettings& plan, LocalBudget budget) {
  CustomerState customer;
  customer.plan = &plan;
  customer.quota_rate = plan.quota_rate;
  customer.counter_total.trusted_at = 1;
  customer.budget = budget;
  return customer;
}

TEST(LocalBudget, UnitsAreRefundedToTheChargedSource) {
  const PlanSettings plan = ten_units_per_second();
  CustomerState customer =
      customer_with(plan, {.tokens = 5, .own_allowance = 2, .slice_credit = 4});

  EXPECT_EQ(charge_slice(customer, 3), BudgetSource::kTokens);
  EXPECT_EQ(customer.budget.tokens, 2);
  EXPECT_EQ(customer.budget.own_allowance, -1);

  EXPECT_EQ(charge_slice(customer, 3), BudgetSource::kSliceCredit);
  EXPECT_EQ(customer.budget.slice_credit, 1);

  refund(customer, BudgetSource::kTokens, 3);
  refund(customer, BudgetSource::kSliceCredit, 3);
  EXPECT_EQ(customer.budget.tokens, 5);
  EXPECT_EQ(customer.budget.own_allowance, 2);
  EXPECT_EQ(customer.budget.slice_credit, 4);
}

TEST(LocalBudget, PoolReservationIsChargedSeparatelyFromTheTokens) {
  const PlanSettings plan = ten_units_per_second();
  CustomerState customer = customer_with(plan, {.tokens = 5, .own_allowance = 5});
  customer.quota_reservation.units = 4;
  charge_to(customer, BudgetSource::kPoolReservation, 3);
  EXPECT_EQ(customer.quota_reservation.units, 1);
  EXPECT_EQ(customer.budget.tokens, 5);
}

TEST(LocalBudget, TokensCoverNothingWithoutAllowance) {
  const PlanSettings plan = ten_units_per_second();
  EXPECT_TRUE(slice_covers(customer_with(plan, {.tokens = 5, .own_allowance = 0.1}), 5));
  EXPECT_FALSE(slice_covers(customer_with(plan, {.tokens = 5, .own_allowance = 0}), 5));
}

TEST(LocalBudget, RequestLargerThanTheBucketIsCoveredWhenTheBucketIsFull) {
  const PlanSettings plan = ten_units_per_second();
  EXPECT_TRUE(slice_covers(customer_with(plan, {.tokens = 20, .own_allowance = 20}), 50));
  EXPECT_FALSE(slice_covers(customer_with(plan, {.tokens = 19, .own_allowance = 19}), 50));
}

TEST(LocalBudget, EveryRequestIsCoveredAndNotChargedWithoutAQuota) {
  const PlanSettings plan;
  CustomerState customer = customer_with(plan, {});
  EXPECT_TRUE(slice_covers(customer, 100));
  charge_slice(customer, 100);
  EXPECT_EQ(customer.budget.tokens, 0);
  EXPECT_EQ(customer.budget.slice_credit, 0);
}

TEST(LocalBudget, WaitForMissingUnitsDependsOnTheRateThatOthersDoNotUse) {
  const PlanSettings plan = ten_units_per_second();
  CustomerState customer = customer_with(plan, {.tokens = 1, .own_allowance = 1});
  customer.demand.others = 8;
  EXPECT_DOUBLE_EQ(seconds_until_covered(customer, 5), 2);
  EXPECT_DOUBLE_EQ(seconds_until_covered(customer, 1), 0);
}

}  // namespace
}  // namespace quota_gateway::policy
