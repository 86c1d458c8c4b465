// Reads the responses of attempts: parses received bytes, delivers a long response in pieces, and
// fails an attempt if its response stalls. Owned by AttemptRunner. Public functions invoke no
// callback; all callbacks come from the event loop.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>

#include "net/event_loop/timers.hpp"
#include "net/http/buffer_limits.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Time after which an attempt fails if its server neither reads nor sends any of a long body.
inline constexpr Micros kStreamStallTimeout = 5'000'000;  // us

// Callbacks that report the progress of reading, from the event loop only. All but
// `on_idle_readable` lead to the end of the attempt.
struct ResponseEvents {
  // The response is complete, or its remaining bytes are not needed.
  std::function<void(const UpstreamConnectionPtr&, AttemptResult, ConnectionCondition)> on_complete;
  // This connection can no longer deliver a usable response.
  std::function<void(const UpstreamConnectionPtr&, Outcome)> on_failed;
  // The connection was closed or reset.
  std::function<void(const UpstreamConnectionPtr&)> on_broken;
  // Bytes arrived before the request was completely written, so they cannot be its response.
  std::function<void(const UpstreamConnectionPtr&)> on_unsolicited_bytes;
  // The server has closed an idle connection, or has sent bytes on it without a request.
  std::function<void(const UpstreamConnectionPtr&)> on_idle_readable;
};

// Reads the responses on all connections of one AttemptRunner.
class ResponseReader {
 public:
  // `attempt_events` must outlive the reader.
  ResponseReader(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 BufferLimits buffer_limits, const AttemptEvents& attempt_events,
                 ResponseEvents response_events);
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Waits until the connection is readable, then reads from it. Does nothing if a wait is already
  // pending, as on a reused connection.
  void read(const UpstreamConnectionPtr& connection);
  // Continues with a long response after its outstanding piece was forwarded to the client.
  void resume(const UpstreamConnectionPtr& connection);
  // Makes the event loop deliver the beginning of a response that has begun and may be a long one
  // that arrives slowly. Returns false if there is no such response, or if it is delivered already.
  bool deliver_started(const UpstreamConnectionPtr& connection);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;
  using Delivery = UpstreamConnection::Delivery;

  // The response cannot be used: ends its attempt with the outcome.
  void fail(const ConnectionPtr& connection, Outcome outcome, ResponseFault fault) const;
  // The connection has broken: ends its attempt.
  void fail_broken(const ConnectionPtr& connection, ResponseFault fault) const;
  void fail_after_exception(const ConnectionPtr& connection) const;
  void on_readable(const ConnectionPtr& connection, boost::system::error_code error);
  void on_idle_readable(const ConnectionPtr& connection, boost::system::error_code error);
  void on_received(const ConnectionPtr& connection, std::size_t size);
  void on_disconnected(const ConnectionPtr& connection, boost::system::error_code error);
  void process_received(const ConnectionPtr& connection, bool is_first_part);
  // Ends an attempt whose response came before the request was completely written.
  void on_early_response(const ConnectionPtr& connection) const;

  // Stall detection: fails the attempt if its response stops arriving.
  void watch_progress(const ConnectionPtr& connection);
  void check_progress(const ConnectionPtr& connection);

  // Delivers the beginning of a response of unknown length that does not arrive in time.
  void limit_buffering(const ConnectionPtr& connection);

  // Returns whether the response in the parser is too long to be buffered, according to its stated
  // length or to the size received so far.
  bool is_long(UpstreamConnection::ResponseParser& parser) const;
  std::size_t read_limit() const;
  // Delivers the received part of a long response. Returns false if there is nothing to deliver.
  bool deliver_part(const ConnectionPtr& connection);
  void deliver_beginning(const ConnectionPtr& connection);
  void deliver_piece(const ConnectionPtr& connection);

  void on_response_complete(const ConnectionPtr& connection);
  void receive_trailing_bytes(const ConnectionPtr& connection);
  void complete(const ConnectionPtr& connection) const;

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const BufferLimits buffer_limits_;
  const AttemptEvents& attempt_events_;
  ResponseEvents response_events_;
  // Shared by all connections, since received bytes are copied out before the next read.
  std::array<char, 32 << 10> read_buffer_;
};

}  // namespace quota_gateway::net
