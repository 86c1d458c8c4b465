#include "net/client/session_activity.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// From connecting, or from a head's first byte, to the end of the head.
constexpr Micros kHeadTimeout = 2'600'000;
// Without a byte of a body: its client is stuck, not slow.
constexpr Micros kBodyTimeout = 2'000'000;
// From connecting to the first byte, after which shutdown no longer waits for one.
constexpr Micros kFirstByteTimeout = 1'000'000;
// Between requests; some clients never come back, and none announces it.
constexpr Micros kIdleTimeout = 4'000'000;
// For a client to accept a response, or one piece of it.
constexpr Micros kWriteTimeout = 10'000'000;
// For a client to read its last response before the close, or between two bytes that are discarded.
constexpr Micros kLingerTimeout = 1'000'000;
constexpr Micros kMaxLingerTime = 5'000'000;

}  // namespace

void SessionActivity::enter(SessionState state, Micros now) {
  state_ = state;
  state_since_ = now;
}

void SessionActivity::on_body_piece_requested(Micros now) {
  awaits_body_piece_ = true;
  state_since_ = now;
}

bool SessionActivity::may_send_first_request(Micros now) const {
  return !has_had_request_ && now - connected_at_ < kFirstByteTimeout;
}

EvictionRank SessionActivity::eviction_rank() const {
  switch (state_) {
    case SessionState::kClosing:
      return EvictionRank::kAfterResponse;
    case SessionState::kIdle:
      return has_sent_bytes_ ? EvictionRank::kBetween : EvictionRank::kSilent;
    case SessionState::kReading:
      return EvictionRank::kMidRequest;
    default:
      return EvictionRank::kNever;
  }
}

TimeoutAction SessionActivity::timeout_action(Micros now, RequestPart part) const {
  if (state_ == SessionState::kReading && is_request_overdue(now, part)) {
    return TimeoutAction::kRejectRequest;
  }
  if (is_body_piece_overdue(now)) {
    return TimeoutAction::kClose;
  }
  const Micros time_in_state = now - state_since_;
  bool overdue = false;
  switch (state_) {
    case SessionState::kIdle:
      overdue = is_first_request_overdue(now) || time_in_state > kIdleTimeout;
      return overdue ? TimeoutAction::kCloseUnlessInputArrived : TimeoutAction::kNone;
    case SessionState::kWriting:
      overdue = !awaits_response_piece_ && time_in_state > kWriteTimeout;
      break;
    case SessionState::kClosing:
      overdue = is_linger_overdue(now);
      break;
    default:
      break;
  }
  return overdue ? TimeoutAction::kClose : TimeoutAction::kNone;
}

bool SessionActivity::is_first_request_overdue(Micros now) const {
  return !has_had_request_ && now - connected_at_ > kHeadTimeout;
}

bool SessionActivity::is_request_overdue(Micros now, RequestPart part) const {
  if (part == RequestPart::kBody) {
    return now - last_input_at_ > kBodyTimeout;
  }
  return is_first_request_overdue(now) || now - state_since_ > kHeadTimeout;
}

bool SessionActivity::is_body_piece_overdue(Micros now) const {
  return awaits_body_piece_ && now - std::max(last_input_at_, state_since_) > kBodyTimeout;
}

bool SessionActivity::is_linger_overdue(Micros now) const {
  const Micros silent_since = std::max(state_since_, last_input_at_);
  return now - silent_since > kLingerTimeout || now - state_since_ > kMaxLingerTime;
}

}  // namespace quota_gateway::net
