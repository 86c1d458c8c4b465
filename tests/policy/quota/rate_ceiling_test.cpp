#include "policy/quota/rate_ceiling.hpp"

#include <gtest/gtest.h>

#include "policy/quota/shared_pool.hpp"

namespace quota_gateway::policy {
namespace {

constexpr Micros kSecondUs = 1'000'000;

// A ceiling of 10 units a second and 20 at once, through two gateways; no key, so that windows
// begin at multiples of their length, a second.
class RateCeilingTest : public testing::Test {
 protected:
  RateCeilingTest() {
    plan_.ceiling_rate = 10;
    plan_.ceiling_burst = 20;
    customer_.plan = &plan_;
    customer_.gateway_subset_size = 2;
  }

  Settings settings_;
  PlanSettings plan_;
  CustomerState customer_;
  const RateCeiling ceiling_{settings_};
};

TEST_F(RateCeilingTest, WithoutACounterEachGatewayHasAnEvenShareOfTheWhole) {
  EXPECT_FALSE(ceiling_.admits(0, customer_, 1));
  EXPECT_TRUE(ceiling_.try_acquire(kSecondUs, customer_, 5));
  EXPECT_FALSE(ceiling_.try_acquire(kSecondUs, customer_, 1));
  EXPECT_TRUE(ceiling_.admits(100 * kSecondUs, customer_, 10));
  EXPECT_FALSE(ceiling_.admits(100 * kSecondUs, customer_, 11));
}

TEST_F(RateCeilingTest, WithACounterHalfIsSplitEvenlyAndReservedUnitsAreTakenFirst) {
  settings_.has_counter = true;
  customer_.ceiling_reservation.units = 3;
  customer_.ceiling_reservation.window = ceiling_pool(plan_).window(kSecondUs, customer_);
  EXPECT_FALSE(ceiling_.admits(kSecondUs, customer_, 6));
  EXPECT_TRUE(ceiling_.try_acquire(kSecondUs, customer_, 4));
  EXPECT_DOUBLE_EQ(customer_.ceiling_reservation.units, 0);
  EXPECT_DOUBLE_EQ(customer_.ceiling.units, 1.5);
}

TEST_F(RateCeilingTest, AWaitEndsWhenTheShareIsFilledOrANewWindowBegins) {
  settings_.has_counter = true;
  const Micros now = 700'000;
  ceiling_.refill(now, customer_);
  EXPECT_EQ(ceiling_.time_until_available(now, customer_, 4.25), kSecondUs);
  customer_.ceiling_reservation.exhausted = true;
  EXPECT_EQ(ceiling_.time_until_available(now, customer_, 4.25), 300'000);
}

TEST_F(RateCeilingTest, APlanWithoutACeilingAdmitsAll) {
  plan_.ceiling_rate = 0;
  EXPECT_TRUE(ceiling_.try_acquire(0, customer_, 1'000));
  EXPECT_DOUBLE_EQ(customer_.ceiling.units, 0);
}

}  // namespace
}  // namespace quota_gateway::policy
