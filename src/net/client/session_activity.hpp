// What a client session is doing and since when, and what follows from it: whether its client has
// exceeded a time limit, how readily its connection is given up for a new client, and whether a
// shutdown must wait for it. Owned by the session, which reports each change. Does no I/O and reads
// no clock.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

enum class SessionState {
  kIdle,              // no byte of the next request has arrived
  kReading,           // some of a request has arrived
  kAwaitingResponse,  // the request is with the gateway server
  kWriting,           // the response is being written, or its next piece is awaited
  kClosing,           // the last response has been written; input is discarded
  kClosed,
};

// Which sessions are closed first to admit a new client; a larger one goes before a smaller one.
enum class EvictionRank {
  kNever,
  kMidRequest,     // some of a request has arrived
  kBetween,        // between requests
  kSilent,         // has never sent a byte
  kAfterResponse,  // has had its last response
};

// What a time limit demands of the session.
enum class TimeoutAction {
  kNone,
  kRejectRequest,
  kClose,
  kCloseUnlessInputArrived,  // input that has arrived but is not read yet was in time
};

// What of a request is being read.
enum class RequestPart { kHead, kBody };

class SessionActivity {
 public:
  explicit SessionActivity(Micros connected_at)
      : connected_at_(connected_at), state_since_(connected_at) {}

  void enter(SessionState state, Micros now);
  // Input was received, or input received earlier is parsed on.
  void on_input(Micros now) { last_input_at_ = now; }
  void on_bytes_received() { has_sent_bytes_ = true; }
  // A complete request has been received, or one with a long body as far as it is buffered.
  void on_request_received() { has_had_request_ = true; }
  // The gateway server waits for the next piece of the request's body from now on.
  void on_body_piece_requested(Micros now);
  // The piece has been delivered, or is no longer wanted.
  void on_body_piece_settled() { awaits_body_piece_ = false; }
  void on_write_started() { awaits_response_piece_ = false; }
  // A piece has been written. The next one is up to the gateway server, not to the client.
  void on_piece_written() { awaits_response_piece_ = true; }

  SessionState state() const { return state_; }
  Micros state_since() const { return state_since_; }
  bool awaits_body_piece() const { return awaits_body_piece_; }
  // Waits for its client's next request, having had one.
  bool rests_between_requests() const { return state_ == SessionState::kIdle && has_had_request_; }
  // Connected so recently that its first request may be on its way.
  bool may_send_first_request(Micros now) const;

  // As if no unread input had arrived; with some, only kAfterResponse holds.
  EvictionRank eviction_rank() const;
  // `part` matters while a request is being read.
  TimeoutAction timeout_action(Micros now, RequestPart part) const;

 private:
  bool is_first_request_overdue(Micros now) const;
  bool is_request_overdue(Micros now, RequestPart part) const;
  bool is_body_piece_overdue(Micros now) const;
  bool is_linger_overdue(Micros now) const;

  Micros connected_at_;
  Micros state_since_;
  Micros last_input_at_ = 0;  // some of a request, or of input that is discarded
  SessionState state_ = SessionState::kIdle;
  bool has_sent_bytes_ = false;         // the client
  bool has_had_request_ = false;        // see on_request_received()
  bool awaits_body_piece_ = false;      // of the request, from the client
  bool awaits_response_piece_ = false;  // of the response, from the gateway server
};

}  // namespace quota_gateway::net
