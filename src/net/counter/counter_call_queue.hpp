// The queue of calls to the quota counter that are waiting for their replies, with the bytes of
// their commands. Owned by CounterClient, which does the I/O; the queue reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// A call to the counter: an addition, or a ping that keeps the connection open.
struct CounterCall {
  enum class Kind { kAdd, kPing };

  // Returns whether the outcome has yet to be reported to the owner of the client. The outcome of a
  // ping is never reported.
  bool needs_reply() const { return kind == Kind::kAdd && !outcome_reported; }

  Kind kind = Kind::kAdd;
  // Used for kAdd only.
  std::int64_t counter_key = 0;
  Micros created_at = 0;
  // Set when the call times out after its command was handed to the socket. A later reply of the
  // counter is then dropped.
  bool outcome_reported = false;
  // Increases with each call, across connections. Set by CounterCallQueue::push().
  std::uint64_t number = 0;
  // The encoded command. Empty after it was handed to the socket.
  std::string command;
  // End of the command in the connection's byte stream. Valid after it was handed to the socket.
  std::size_t end_offset = 0;
};

// A call that ended without a reply from the counter.
struct UnansweredCall {
  CounterCall call;
  // Whether the counter may have received the complete command.
  bool possibly_sent = false;
};

// A FIFO queue: the counter replies to calls in the order in which they were sent.
class CounterCallQueue {
 public:
  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }
  // Returns when the oldest call was made. Empty if there is no call.
  std::optional<Micros> oldest_created_at() const;
  // Returns whether the outcome of any call in the queue has yet to be reported.
  bool any_needs_reply() const;

  // Appends a call and returns its number. The call's command must not be empty.
  std::uint64_t push(CounterCall call);
  // Removes and returns the oldest call, to which the counter's next reply belongs. The queue must
  // not be empty.
  CounterCall pop();
  // Ends a call that has timed out and returns it. A call whose command was not handed to the
  // socket is removed. Any other call stays in the queue, so that a late reply is matched to it,
  // and needs_reply() becomes false. Empty if the call has already ended.
  std::optional<UnansweredCall> time_out(std::uint64_t number);

  // Returns whether a write is in progress.
  bool is_writing() const { return !write_buffer_.empty(); }
  // Returns the bytes of all commands that have not been handed to the socket yet; empty if there
  // are none. The bytes stay valid until on_written() or end_connection(). Must not be called while
  // a write is in progress.
  const std::string& begin_write();
  // Reports that the write has ended after `size` bytes, which may be fewer than begin_write()
  // returned.
  void on_written(std::size_t size);

  // Reports that the connection has ended. Empties the queue and returns its calls.
  std::vector<UnansweredCall> end_connection();

 private:
  std::deque<CounterCall> calls_;
  std::uint64_t last_number_ = 0;
  // The bytes that are being written. Empty if no write is in progress.
  std::string write_buffer_;
  // Number of bytes that were written to the connection before `write_buffer_`.
  std::size_t bytes_written_ = 0;
};

}  // namespace quota_gateway::net
