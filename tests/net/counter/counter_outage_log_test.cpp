// Tests the log lines that CounterOutageLog writes for an outage of the quota counter.
#include "net/counter/counter_outage_log.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kStart = 100'000'000;

class CounterOutageLogTest : public ::testing::Test {
 protected:
  std::string disconnected(CounterDisconnectReason reason, Micros now) {
    ::testing::internal::CaptureStderr();
    log.on_disconnected({reason}, now);
    return ::testing::internal::GetCapturedStderr();
  }
  std::string connected(Micros now) {
    ::testing::internal::CaptureStderr();
    log.on_connected(now);
    return ::testing::internal::GetCapturedStderr();
  }
  CounterOutageLog log;
};

TEST_F(CounterOutageLogTest, BothEndsOfAnOutageAreLogged) {
  EXPECT_EQ(connected(kStart), "");
  EXPECT_EQ(
      disconnected(CounterDisconnectReason::kNoResponse, kStart),
      "counter: no connection, retrying: the counter did not respond to a pending call in time\n");
  EXPECT_EQ(connected(kStart + 1'500'999), "counter: reconnected after 1500 ms\n");
  EXPECT_EQ(connected(kStart + 2'000'000), "");
}

TEST_F(CounterOutageLogTest, AnOutageBeginsWithItsFirstFailure) {
  disconnected(CounterDisconnectReason::kNoResponse, kStart);
  disconnected(CounterDisconnectReason::kConnectTimeout, kStart + 500'000);
  EXPECT_EQ(connected(kStart + 1'000'000), "counter: reconnected after 1000 ms\n");
}

TEST_F(CounterOutageLogTest, FailuresAreLoggedAtMostEveryTenSeconds) {
  EXPECT_NE(disconnected(CounterDisconnectReason::kConnectTimeout, kStart), "");
  EXPECT_EQ(disconnected(CounterDisconnectReason::kConnectTimeout, kStart + 10'000'000), "");
  EXPECT_EQ(disconnected(CounterDisconnectReason::kConnectTimeout, kStart + 10'000'001),
            "counter: no connection, retrying: connecting to the counter timed out\n");
}

}  // namespace
}  // namespace quota_gateway::net::testing
