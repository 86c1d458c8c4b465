// ArrivalTimes: when the last byte of a request arrived that was sent behind others.
#include "net/client/arrival_times.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kStart = 100'000'000;

TEST(ArrivalTimes, ARequestCountsFromItsLastByte) {
  ArrivalTimes arrivals;
  arrivals.on_received(50, 0, kStart);
  arrivals.on_received(50, 50, kStart + 300'000);
  EXPECT_EQ(arrivals.of_last_parsed(0), kStart + 300'000);
}

TEST(ArrivalTimes, RequestsThatArriveTogetherCountFromTheSameTime) {
  ArrivalTimes arrivals;
  arrivals.on_received(300, 0, kStart);
  EXPECT_EQ(arrivals.of_last_parsed(200), kStart);
  arrivals.on_received(100, 200, kStart + 700'000);
  EXPECT_EQ(arrivals.of_last_parsed(200), kStart);
  EXPECT_EQ(arrivals.of_last_parsed(100), kStart);
  EXPECT_EQ(arrivals.of_last_parsed(0), kStart + 700'000);
}

TEST(ArrivalTimes, ARequestBehindNoOtherCountsFromItsOwnArrival) {
  ArrivalTimes arrivals;
  arrivals.on_received(100, 0, kStart);
  EXPECT_EQ(arrivals.of_last_parsed(0), kStart);
  arrivals.on_received(100, 0, kStart + 1'000);
  EXPECT_EQ(arrivals.of_last_parsed(0), kStart + 1'000);
}

TEST(ArrivalTimes, BytesThatArriveInQuickSuccessionCountAsOneArrival) {
  ArrivalTimes arrivals;
  constexpr Micros kInterval = ArrivalTimes::kResolution / 4;
  for (int i = 0; i < 8; ++i) {
    arrivals.on_received(100, std::size_t(i) * 100, kStart + i * kInterval);
  }
  EXPECT_EQ(arrivals.of_last_parsed(500), kStart);
  EXPECT_EQ(arrivals.of_last_parsed(0), kStart + ArrivalTimes::kResolution);
}

}  // namespace
}  // namespace quota_gateway::net::testing
