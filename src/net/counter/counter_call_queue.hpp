// The calls to the quota counter that await their reply, and the bytes of their commands. Owned by
// CounterClient, which does the I/O; no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct CounterCall {
  enum class Kind { kAdd, kPing };

  // Whether the owner still has to be given an outcome. Nobody waits for the reply to a ping.
  bool needs_reply() const { return kind == Kind::kAdd && !answered; }

  Kind kind = Kind::kAdd;
  // Only of kAdd.
  std::int64_t counter_name = 0;
  Micros created_at = 0;
  // Answered by our time-out; the counter's reply, which may come later, is dropped.
  bool answered = false;
  // Grows from call to call, over all connections. Set by CounterCallQueue.
  std::uint64_t number = 0;
  // The encoded command. Empty once handed to the socket.
  std::string command;
  // Once handed to the socket: the offset of the command's end in the connection's byte stream.
  std::size_t end_offset = 0;
};

// A call that ends without the counter's reply.
struct UnansweredCall {
  CounterCall call;
  // Whether the counter may have received the command.
  bool possibly_sent = false;
};

// In the order in which calls are sent, which is also the order of the counter's replies.
class CounterCallQueue {
 public:
  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }
  // None if there is no call.
  std::optional<Micros> oldest_created_at() const;
  // Whether a call in the queue still needs a reply.
  bool any_needs_reply() const;

  // Appends a call, whose command must not be empty. Returns its number.
  std::uint64_t push(CounterCall call);
  // Removes the call that the counter's next reply belongs to. There must be one.
  CounterCall pop();
  // Ends a call that has waited for too long. If it was never handed to the socket it is removed;
  // else it stays in line for its reply, as one that is answered. None if the call has ended
  // before.
  std::optional<UnansweredCall> time_out(std::uint64_t number);

  // Whether bytes are being written.
  bool is_writing() const { return !write_buffer_.empty(); }
  // Hands over all commands that were not handed over before. The bytes stay valid until
  // on_written() or end_connection(). Empty: there are none. Must not be called while
  // `is_writing()`.
  const std::string& begin_write();
  // The write has ended after so many of the bytes.
  void on_written(std::size_t size);

  // The connection has ended. Empties the queue.
  std::vector<UnansweredCall> end_connection();

 private:
  std::deque<CounterCall> calls_;
  std::uint64_t last_number_ = 0;
  // Being written; empty: no write is pending.
  std::string write_buffer_;
  // Bytes of the connection's byte stream before `write_buffer_`.
  std::size_t written_ = 0;
};

}  // namespace quota_gateway::net
