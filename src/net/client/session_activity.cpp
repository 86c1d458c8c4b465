#include "net/client/session_activity.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// All times are in microseconds.

// Maximum time to the end of a head, from its first byte and, for the first request, also from the
// start of the connection.
constexpr Micros kHeadTimeout = 2'600'000;
// Maximum time between two bytes of a body. A client that exceeds it is stuck rather than slow.
constexpr Micros kBodyTimeout = 2'000'000;
// How long after the start of a connection a shutdown waits for the first byte.
constexpr Micros kFirstByteTimeout = 1'000'000;
// Maximum idle time between requests. Some clients never send another request, and no client
// announces that it won't.
constexpr Micros kIdleTimeout = 4'000'000;
// Maximum time to write a complete response or one piece of a streamed response.
constexpr Micros kWriteTimeout = 10'000'000;
// How long a client has to read its last response before the connection is closed. Each byte that
// it sends restarts this time.
constexpr Micros kLingerTimeout = 1'000'000;
// Maximum total duration of a lingering close.
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
      return has_sent_bytes_ ? EvictionRank::kBetweenRequests : EvictionRank::kSilent;
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
