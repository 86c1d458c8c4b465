// Ownership of an attempt that a ConnectionPool runs. The request that the attempt belongs to holds
// the handle, so an attempt cannot outlive its request and occupy a connection.
#pragma once

#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

class AttemptRunner;

// A system acknowledges what it has received within this time, 40 ms on Linux if it delays that.
constexpr Micros kMaxAcknowledgementTime = 50'000;  // us

// Owns one attempt and abandons it at the end of the handle's lifetime. Has no effect on an attempt
// that has ended. The pool must outlive the handle.
class AttemptHandle {
 public:
  // Owns no attempt.
  AttemptHandle() = default;
  AttemptHandle(AttemptRunner& runner, AttemptKey key);
  AttemptHandle(AttemptHandle&& other) noexcept;
  AttemptHandle& operator=(AttemptHandle&& other) noexcept;
  ~AttemptHandle();

  // Ends the attempt and resets its connection; no event for the attempt follows. Returns whether
  // the last byte of the request has been written; false if the attempt has ended before.
  bool abandon();

  // Ends the attempt like abandon() unless the last byte of its request has been written. A server
  // does not run an unwritten request, so this is not a cancellation. Returns whether it ended.
  bool abandon_unwritten();

  // Ends the attempt like abandon() if all of its request was sent and the server's system has not
  // acknowledged all of it. After kMaxAcknowledgementTime the server does not have the request: a
  // segment was lost, and would be sent again. Returns whether the attempt ended.
  bool abandon_undelivered();

  // Makes the event loop report on_response_started if the response has begun and may be a long one
  // that arrives slowly. Returns whether it does. Such an attempt must not be ended as stalled or
  // late: a long response is in time if its first bytes are.
  bool deliver_started();

  // Whether a part of the request has been written, and its last byte has not.
  bool is_being_written() const;

  // Whether the attempt occupies a connection.
  bool has_connection() const;

 private:
  AttemptRunner* runner_ = nullptr;  // null: no attempt
  AttemptKey key_;
};

}  // namespace quota_gateway::net
