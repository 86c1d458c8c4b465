// Tests DiscoveryOutageLog: which lines are logged for outages and rejected lists.
#include "net/discovery/discovery_outage_log.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kStart = 100'000'000;
constexpr std::int64_t kRevision = 41;

class DiscoveryOutageLogTest : public ::testing::Test {
 protected:
  std::string disconnected(Micros now) {
    ::testing::internal::CaptureStderr();
    log.on_disconnected(silent, kRevision, now);
    return ::testing::internal::GetCapturedStderr();
  }
  std::string list_rejected(Micros now) {
    ListIntake::Rejection rejection;
    rejection.bytes = 1000;
    rejection.endpoints = 7;
    ::testing::internal::CaptureStderr();
    log.on_list_rejected(rejection, silent, kRevision, 2'000'000, now);
    return ::testing::internal::GetCapturedStderr();
  }
  std::string healthy(Micros now) {
    ::testing::internal::CaptureStderr();
    log.on_healthy(now);
    return ::testing::internal::GetCapturedStderr();
  }
  WatchDisconnect silent{WatchDisconnectReason::kSilent, "the watch is silent"};
  DiscoveryOutageLog log;
};

TEST_F(DiscoveryOutageLogTest, BothEndsOfAnOutageAreLogged) {
  EXPECT_EQ(healthy(kStart), "");
  EXPECT_EQ(disconnected(kStart),
            "discovery: the watch is silent; watching again from revision 41\n");
  EXPECT_EQ(disconnected(kStart + 500'000), "");
  EXPECT_EQ(healthy(kStart + 1'000'000), "discovery: recovered after 1000 ms\n");
  EXPECT_EQ(healthy(kStart + 2'000'000), "");
}

TEST_F(DiscoveryOutageLogTest, DisconnectionsAreLoggedAtMostEveryTenSeconds) {
  EXPECT_NE(disconnected(kStart), "");
  EXPECT_EQ(disconnected(kStart + 10'000'000), "");
  EXPECT_NE(disconnected(kStart + 10'000'001), "");
}

TEST_F(DiscoveryOutageLogTest, EachRejectedListIsLoggedInPlaceOfItsDisconnection) {
  const std::string expected =
      "discovery: endpoint list rejected after 1000 bytes and 7 endpoints: the watch is silent; "
      "revision 41 stays in force, changes are requested in 2000 ms\n";
  EXPECT_EQ(list_rejected(kStart), expected);
  EXPECT_EQ(disconnected(kStart), "");
  EXPECT_EQ(list_rejected(kStart + 1), expected);
}

}  // namespace
}  // namespace quota_gateway::net::testing
