// The clock of a gateway process.
#include "net/event_loop/clock.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace quota_gateway::net::testing {
namespace {

Micros system_time() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

TEST(Clock, StartsAtTheSystemTime) {
  const Micros before = system_time();
  const Micros now = Clock().now();
  EXPECT_GE(now, before);
  EXPECT_LE(now, system_time() + 1'000'000);
}

TEST(Clock, NeverGoesBack) {
  const Clock clock;
  Micros last = clock.now();
  for (int reading = 0; reading < 1'000; ++reading) {
    const Micros now = clock.now();
    EXPECT_GE(now, last);
    last = now;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
