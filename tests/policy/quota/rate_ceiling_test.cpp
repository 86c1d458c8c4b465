// Unit tests of RateCeiling. ceiling_enforcement_test.cpp tests the ceiling at complete gateways.
#include "policy/quota/rate_ceiling.hpp"

#include <gtest/gtest.h>

#include "policy/quota/shared_pool.hpp"

namespace quota_gateway::policy {
namespace {

constexpr Micros kSecondUs = 1'000'000;

// A ceiling of 10 units per second with a burst of 20, shared by two gateways. The customer key is
// 0, so the windows of one second begin at multiples of their length.
class RateCeilingTest : public testing::Test {
 protected:
  RateCeilingTest() {
    plan.ceiling_rate = 10;
    plan.ceiling_burst = 20;
    customer.plan = &plan;
    customer.gateway_subset_size = 2;
  }

  Settings settings;
  PlanSettings plan;
  CustomerState customer;
  const RateCeiling ceiling{settings};
};

TEST_F(RateCeilingTest, EachGatewayHasAnEvenShareOfTheFullCeilingWithoutACounter) {
  EXPECT_FALSE(ceiling.admits(0, customer, 1));
  EXPECT_TRUE(ceiling.try_acquire(kSecondUs, customer, 5));
  EXPECT_FALSE(ceiling.try_acquire(kSecondUs, customer, 1));
  EXPECT_TRUE(ceiling.admits(100 * kSecondUs, customer, 10));
  EXPECT_FALSE(ceiling.admits(100 * kSecondUs, customer, 11));
}

TEST_F(RateCeilingTest, HalfIsSplitEvenlyWithACounterAndReservedUnitsAreTakenFirst) {
  settings.has_counter = true;
  customer.ceiling_reservation.units = 3;
  customer.ceiling_reservation.window = ceiling_pool(plan).window(kSecondUs, customer);
  EXPECT_FALSE(ceiling.admits(kSecondUs, customer, 6));
  EXPECT_TRUE(ceiling.try_acquire(kSecondUs, customer, 4));
  EXPECT_DOUBLE_EQ(customer.ceiling_reservation.units, 0);
  EXPECT_DOUBLE_EQ(customer.ceiling.units, 1.5);
}

TEST_F(RateCeilingTest, WaitEndsWhenTheShareIsRefilledOrANewWindowBegins) {
  settings.has_counter = true;
  const Micros now = 700'000;
  ceiling.refill(now, customer);
  EXPECT_EQ(ceiling.time_until_available(now, customer, 4.25), kSecondUs);
  customer.ceiling_reservation.exhausted = true;
  EXPECT_EQ(ceiling.time_until_available(now, customer, 4.25), 300'000);
}

TEST_F(RateCeilingTest, PlanWithoutACeilingAdmitsEveryRequest) {
  plan.ceiling_rate = 0;
  EXPECT_TRUE(ceiling.try_acquire(0, customer, 1'000));
  EXPECT_DOUBLE_EQ(customer.ceiling.units, 0);
}

}  // namespace
}  // namespace quota_gateway::policy
