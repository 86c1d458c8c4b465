// SessionActivity: the time limits of a client session and its eviction rank.
#include "net/client/session_activity.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net {
namespace {

// All times are in microseconds.
constexpr Micros kConnectedAt = 1'000'000;
constexpr Micros kHeadTimeout = 2'600'000;
constexpr Micros kBodyTimeout = 2'000'000;
constexpr Micros kIdleTimeout = 4'000'000;
constexpr Micros kWriteTimeout = 10'000'000;
constexpr Micros kLingerTimeout = 1'000'000;
constexpr Micros kMaxLingerTime = 5'000'000;

// Returns the activity of a session that has had a request and entered `state` at `since`.
SessionActivity activity_in(SessionState state, Micros since) {
  SessionActivity activity(kConnectedAt);
  activity.on_bytes_received();
  activity.on_input(since);
  activity.on_request_received();
  activity.enter(state, since);
  return activity;
}

TEST(SessionActivity, AClientThatNeverSendsIsClosedAfterTheHeadTimeout) {
  const SessionActivity activity(kConnectedAt);
  EXPECT_EQ(activity.timeout_action(kConnectedAt + kHeadTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(kConnectedAt + kHeadTimeout + 1, RequestPart::kHead),
            TimeoutAction::kCloseUnlessInputArrived);
}

TEST(SessionActivity, AClientIsClosedAfterTheIdleTimeoutBetweenRequests) {
  const SessionActivity activity = activity_in(SessionState::kIdle, 9'000'000);
  EXPECT_TRUE(activity.is_idle_between_requests());
  EXPECT_EQ(activity.timeout_action(9'000'000 + kIdleTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kIdleTimeout + 1, RequestPart::kHead),
            TimeoutAction::kCloseUnlessInputArrived);
}

TEST(SessionActivity, TheTimeoutOfTheFirstHeadStartsWithTheConnection) {
  SessionActivity activity(kConnectedAt);
  activity.enter(SessionState::kReading, kConnectedAt + kHeadTimeout);
  activity.on_input(kConnectedAt + kHeadTimeout);
  EXPECT_EQ(activity.timeout_action(kConnectedAt + kHeadTimeout + 1, RequestPart::kHead),
            TimeoutAction::kRejectRequest);
}

TEST(SessionActivity, TheTimeoutOfALaterHeadStartsWithItsFirstByteAndIsNotExtended) {
  SessionActivity activity = activity_in(SessionState::kReading, 9'000'000);
  activity.on_input(9'000'000 + kHeadTimeout);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kHeadTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kHeadTimeout + 1, RequestPart::kHead),
            TimeoutAction::kRejectRequest);
}

TEST(SessionActivity, TheBodyTimeoutRestartsWithEachInput) {
  SessionActivity activity = activity_in(SessionState::kReading, 9'000'000);
  activity.on_input(60'000'000);
  EXPECT_EQ(activity.timeout_action(60'000'000 + kBodyTimeout, RequestPart::kBody),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(60'000'000 + kBodyTimeout + 1, RequestPart::kBody),
            TimeoutAction::kRejectRequest);
}

TEST(SessionActivity, TheTimeoutOfABodyPieceStartsWithItsRequestOrTheLastInput) {
  SessionActivity activity = activity_in(SessionState::kAwaitingResponse, 9'000'000);
  EXPECT_EQ(activity.timeout_action(60'000'000, RequestPart::kHead), TimeoutAction::kNone);

  activity.on_body_piece_requested(60'000'000);
  EXPECT_EQ(activity.timeout_action(60'000'000 + kBodyTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(60'000'000 + kBodyTimeout + 1, RequestPart::kHead),
            TimeoutAction::kClose);

  activity.on_input(61'000'000);
  EXPECT_EQ(activity.timeout_action(61'000'000 + kBodyTimeout, RequestPart::kHead),
            TimeoutAction::kNone);

  activity.on_body_piece_settled();
  EXPECT_EQ(activity.timeout_action(90'000'000, RequestPart::kHead), TimeoutAction::kNone);
}

TEST(SessionActivity, TheWriteTimeoutAppliesToEachPieceButNotWhileTheNextIsAwaited) {
  SessionActivity activity = activity_in(SessionState::kWriting, 9'000'000);
  activity.on_write_started();
  EXPECT_EQ(activity.timeout_action(9'000'000 + kWriteTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kWriteTimeout + 1, RequestPart::kHead),
            TimeoutAction::kClose);
  activity.on_piece_written();
  EXPECT_EQ(activity.timeout_action(90'000'000, RequestPart::kHead), TimeoutAction::kNone);
}

TEST(SessionActivity, ALingeringCloseEndsAfterSilenceOrItsMaximumDuration) {
  SessionActivity activity = activity_in(SessionState::kClosing, 9'000'000);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kLingerTimeout, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kLingerTimeout + 1, RequestPart::kHead),
            TimeoutAction::kClose);

  activity.on_input(9'000'000 + kMaxLingerTime);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kMaxLingerTime, RequestPart::kHead),
            TimeoutAction::kNone);
  EXPECT_EQ(activity.timeout_action(9'000'000 + kMaxLingerTime + 1, RequestPart::kHead),
            TimeoutAction::kClose);
}

TEST(SessionActivity, AFirstRequestMayArriveUntilTheFirstByteTimeout) {
  SessionActivity activity(kConnectedAt);
  EXPECT_TRUE(activity.may_send_first_request(kConnectedAt + 999'999));
  EXPECT_FALSE(activity.may_send_first_request(kConnectedAt + 1'000'000));
  activity.on_request_received();
  EXPECT_FALSE(activity.may_send_first_request(kConnectedAt));
}

TEST(SessionActivity, SessionsWithLessToLoseHaveAHigherEvictionRank) {
  EXPECT_LT(EvictionRank::kMidRequest, EvictionRank::kBetweenRequests);
  EXPECT_LT(EvictionRank::kBetweenRequests, EvictionRank::kSilent);
  EXPECT_LT(EvictionRank::kSilent, EvictionRank::kAfterResponse);

  EXPECT_EQ(SessionActivity(kConnectedAt).eviction_rank(), EvictionRank::kSilent);
  EXPECT_EQ(activity_in(SessionState::kReading, 0).eviction_rank(), EvictionRank::kMidRequest);
  EXPECT_EQ(activity_in(SessionState::kIdle, 0).eviction_rank(), EvictionRank::kBetweenRequests);
  EXPECT_EQ(activity_in(SessionState::kClosing, 0).eviction_rank(), EvictionRank::kAfterResponse);
  EXPECT_EQ(activity_in(SessionState::kAwaitingResponse, 0).eviction_rank(), EvictionRank::kNever);
  EXPECT_EQ(activity_in(SessionState::kWriting, 0).eviction_rank(), EvictionRank::kNever);
}

}  // namespace
}  // namespace quota_gateway::net
