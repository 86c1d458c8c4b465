// The state of a client session and the time at which it entered this state. Derives from them
// whether the client has exceeded a time limit, in which order sessions are evicted for a new
// client, and whether a shutdown must wait for a first request. Owned by the session, which reports
// each change. Does no I/O and reads no clock.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// What a session is doing.
enum class SessionState {
  kIdle,              // no byte of the next request has arrived
  kReading,           // a part of a request has arrived
  kAwaitingResponse,  // the gateway server is processing the request
  kWriting,           // the response is being written, or the server has yet to send its next piece
  kClosing,           // the last response has been written; further input is discarded
  kAborting,          // an incomplete response was written; the connection is reset behind it
  kClosed,
};

// The order in which sessions are closed to admit a new client: the highest rank first.
enum class EvictionRank {
  kNever,
  kMidRequest,       // a part of a request has arrived
  kBetweenRequests,  // the client has sent bytes, and the next request has not begun
  kSilent,           // the client has never sent a byte
  kAfterResponse,    // the last response has been written
};

// What the session must do because a time limit has passed.
enum class TimeoutAction {
  kNone,
  kRejectRequest,
  kClose,
  kCloseUnlessInputArrived,  // unread input counts as received in time
};

// The part of a request that is being read.
enum class RequestPart { kHead, kBody };

// The state of one client session.
class SessionActivity {
 public:
  explicit SessionActivity(Micros connected_at)
      : connected_at_(connected_at), state_since_(connected_at) {}

  void enter(SessionState state, Micros now);
  // Input was received, or input that was received earlier is being parsed.
  void on_input(Micros now) { last_input_at_ = now; }
  void on_bytes_received() { has_sent_bytes_ = true; }
  // A request has been received, completely or, if its body is long, up to the buffer limit.
  void on_request_received() { has_had_request_ = true; }
  // The gateway server has requested the next piece of the request's body.
  void on_body_piece_requested(Micros now);
  // The requested piece has been delivered, or its request was withdrawn.
  void on_body_piece_settled() { awaits_body_piece_ = false; }
  void on_write_started() { awaits_response_piece_ = false; }
  // A piece has been written. Until the server sends the next one, the write timeout doesn't apply.
  void on_piece_written() { awaits_response_piece_ = true; }

  SessionState state() const { return state_; }
  Micros state_since() const { return state_since_; }
  bool awaits_body_piece() const { return awaits_body_piece_; }
  // Whether a streamed response goes on with the next piece, and no piece is being written.
  bool awaits_response_piece() const { return awaits_response_piece_; }
  // Whether the session has had a request and waits for the next one.
  bool is_idle_between_requests() const {
    return state_ == SessionState::kIdle && has_had_request_;
  }
  // Whether no request has arrived and the client connected less than kFirstByteTimeout ago, so
  // that its first request may still arrive.
  bool may_send_first_request(Micros now) const;

  // The rank of a session without unread input. A session with unread input must not be evicted
  // unless its rank is kAfterResponse.
  EvictionRank eviction_rank() const;
  // `part` is used only while a request is being read.
  TimeoutAction timeout_action(Micros now, RequestPart part) const;

 private:
  bool is_first_request_overdue(Micros now) const;
  bool is_request_overdue(Micros now, RequestPart part) const;
  bool is_body_piece_overdue(Micros now) const;
  bool is_linger_overdue(Micros now) const;

  Micros connected_at_;
  Micros state_since_;
  Micros last_input_at_ = 0;  // includes input that was discarded
  SessionState state_ = SessionState::kIdle;
  bool has_sent_bytes_ = false;         // the client has sent at least one byte
  bool has_had_request_ = false;        // see on_request_received()
  bool awaits_body_piece_ = false;      // the next body piece must come from the client
  bool awaits_response_piece_ = false;  // the next response piece must come from the server
};

}  // namespace quota_gateway::net
