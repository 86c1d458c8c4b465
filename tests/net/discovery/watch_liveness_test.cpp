// Tests WatchLiveness: when a watch counts as silent, and which delays do not count as silence.
#include "net/discovery/watch_liveness.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kConnectingAt = 100'000'000;
constexpr Micros kResponseTimeout = 120'000;
constexpr Micros kMaxSilence = 3'000'000;

class WatchLivenessTest : public ::testing::Test {
 protected:
  WatchLivenessTest() { liveness.on_connecting(kConnectingAt); }
  // Makes a check at the time when it is due.
  std::optional<Micros> check_at(Micros now) { return liveness.check(now, now); }
  WatchLiveness liveness{kResponseTimeout};
};

TEST_F(WatchLivenessTest, AnAgentThatDoesNotRespondInTimeIsSilent) {
  const Micros silent_at = kConnectingAt + kResponseTimeout;
  EXPECT_EQ(check_at(kConnectingAt), silent_at);
  EXPECT_EQ(check_at(silent_at - 1), silent_at);
  EXPECT_EQ(check_at(silent_at), std::nullopt);
}

TEST_F(WatchLivenessTest, AfterAResponseAWatchMayBeSilentForThreeSeconds) {
  const Micros received_at = kConnectingAt + 100'000;
  liveness.on_received(received_at);
  EXPECT_EQ(check_at(received_at), received_at + kMaxSilence);
  EXPECT_EQ(check_at(received_at + kMaxSilence - 1), received_at + kMaxSilence);
  EXPECT_EQ(check_at(received_at + kMaxSilence), std::nullopt);
}

TEST_F(WatchLivenessTest, ANewConnectionMustRespondInTimeAgain) {
  liveness.on_received(kConnectingAt + 1);
  const Micros reconnecting_at = kConnectingAt + 10'000'000;
  liveness.on_connecting(reconnecting_at);
  EXPECT_EQ(check_at(reconnecting_at), reconnecting_at + kResponseTimeout);
}

TEST_F(WatchLivenessTest, ALateCheckLeavesTheEventLoopTimeToReadPendingData) {
  // Otherwise a process that was stopped for a while would disconnect a healthy watch.
  const Micros due = kConnectingAt + kResponseTimeout;
  const Micros late = due + 30'001;
  EXPECT_EQ(liveness.check(late, due), late + 30'000);
  EXPECT_EQ(check_at(late + 30'000), std::nullopt);
}

TEST_F(WatchLivenessTest, ASlightlyLateCheckStillDetectsSilence) {
  const Micros due = kConnectingAt + kResponseTimeout;
  EXPECT_EQ(liveness.check(due + 30'000, due), std::nullopt);
}

}  // namespace
}  // namespace quota_gateway::net::testing
