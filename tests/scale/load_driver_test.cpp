// Tests of LoadDriver: its clock, its simulated servers and its counts.
#include "module/load_driver.hpp"

#include <gtest/gtest.h>

#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kServers = 20;
constexpr std::size_t kGateways = 1;

LoadDriver small_driver() {
  return driver_with_servers(kSeed, kServers, kGateways);
}

TEST(LoadDriver, ClockIsAtTheEndOfARunEvenIfNothingIsDue) {
  LoadDriver driver(module_settings(kGateways), kSeed);
  const Micros before = driver.now();
  driver.run_until(before + kMillisecond);
  EXPECT_EQ(driver.now(), before + kMillisecond);
  driver.run_until(before);
  EXPECT_EQ(driver.now(), before + kMillisecond);
}

TEST(LoadDriver, SendsARequestToAnIdleServerOnArrival) {
  LoadDriver driver = small_driver();
  driver.run_until(driver.now() + kSecond);
  driver.request(1);
  driver.run_until(driver.now() + kSecond);
  driver.request(1);
  EXPECT_EQ(driver.requests(), 2U);
  // The first request waits for the counter's first total of its tenant, the second does not.
  EXPECT_LE(driver.held_requests(), 1U);
}

TEST(LoadDriver, EventsStayDueOnceTheProcessorTimeIsUsedUp) {
  LoadDriver driver = small_driver();
  driver.request(1);
  const double cpu_before = driver.cpu_us();
  driver.run_until(driver.now() + kSecond, 0);
  EXPECT_DOUBLE_EQ(driver.cpu_us(), cpu_before);
  driver.run_until(driver.now());
  EXPECT_GT(driver.cpu_us(), cpu_before);
}

TEST(LoadDriver, CountsPeriodicMaintenanceSeparately) {
  LoadDriver driver = small_driver();
  driver.request(1);
  driver.run_until(driver.now() + 5 * kSecond);
  EXPECT_FALSE(driver.maintenance_us().empty());
  EXPECT_LE(driver.total_maintenance_us(), driver.cpu_us());
}

TEST(LoadDriver, HoldsOrRejectsTheSameRequestsForTheSameSeed) {
  const auto held = [] {
    LoadDriver driver = small_driver();
    for (std::size_t i = 0; i < 400; ++i) {
      driver.request(i % kTenantsPerGateway);
      driver.run_until(driver.now() + kMillisecond);
    }
    return driver.held_requests();
  };
  EXPECT_EQ(held(), held());
}

}  // namespace
}  // namespace quota_gateway::scale
