// Runs attempts on connections: writes the request, reads the response with ResponseReader, fails
// attempts that make no progress, and reports events through AttemptEvents. Owned by
// ConnectionPool, which opens the connections, assigns an attempt to each with assign() and gets
// the connection back in ConnectionEvents::on_released.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>

#include "net/event_loop/timers.hpp"
#include "net/http/buffer_limits.hpp"
#include "net/http/forwarded_request.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/response_reader.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Callbacks to the owner of the connections. Both may be called from within a call to
// AttemptRunner.
struct ConnectionEvents {
  // The attempt has ended, and the owner may keep the connection idle or close it. Called before
  // AttemptEvents::on_complete.
  std::function<void(const UpstreamConnectionPtr&, ConnectionCondition)> on_released;
  // The server has closed an idle connection, or has sent bytes on it without a request.
  std::function<void(const UpstreamConnectionPtr&)> on_idle_readable;
};

// Runs all attempts of one ConnectionPool, at most one at a time on each connection.
class AttemptRunner {
 public:
  // The attempts that have a connection, by its state.
  struct Counts {
    std::size_t connecting = 0;
    std::size_t writing = 0;
    std::size_t waiting = 0;
  };

  AttemptRunner(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                BufferLimits buffer_limits, AttemptEvents attempt_events,
                ConnectionEvents connection_events);
  AttemptRunner(const AttemptRunner&) = delete;
  AttemptRunner& operator=(const AttemptRunner&) = delete;

  // Assigns an attempt to a connection that has none. The connection may still be connecting.
  // `request` must exist until the attempt ends.
  void assign(AttemptKey key, const UpstreamConnectionPtr& connection,
              const ForwardedRequest& request, AttemptTimes times);
  // Starts the assigned attempt. The connection must be established. An attempt that may no longer
  // be written, or whose request no longer wants it, ends with kNotSent.
  void start(const UpstreamConnectionPtr& connection);
  // Ends the assigned attempt with `outcome` and without a response.
  void fail(const UpstreamConnectionPtr& connection, Outcome outcome);
  // Reports the failure of an attempt that has no connection. The event loop delivers the report.
  void fail_unassigned(AttemptKey key, Outcome outcome);

  // See the functions of the same names in ConnectionPool and AttemptHandle.
  void send_body_piece(AttemptKey key, const std::string& piece, bool is_last);
  void resume(AttemptKey key);
  bool deliver_started(AttemptKey key);
  bool abandon(AttemptKey key);
  bool abandon_unwritten(AttemptKey key);
  bool abandon_undelivered(AttemptKey key);
  bool has_connection(AttemptKey key) const { return attempts_.contains(key); }
  bool is_being_written(AttemptKey key) const;
  Counts counts() const;
  // The server sends bytes that no request awaits: a response on a connection to it that repeats
  // the one before it fails its attempt.
  void distrust(const std::string& server);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;
  using Delivery = UpstreamConnection::Delivery;

  enum class WriteResult { kComplete, kIncomplete, kFailed };

  // Request writing.
  bool may_start(const UpstreamConnection& connection) const;
  void watch_write_limit(const ConnectionPtr& connection);
  // Begins to write the output. Returns false if the attempt has failed.
  bool begin_write(const ConnectionPtr& connection);
  // Writes as much of the output as the socket takes, without blocking.
  WriteResult write_output(const ConnectionPtr& connection);
  // Continues to write whenever the socket takes more.
  void await_writable(const ConnectionPtr& connection);
  void on_writable(const ConnectionPtr& connection);
  static Micros write_stall_limit(const UpstreamConnection& connection);
  void watch_body_write(const ConnectionPtr& connection);
  void check_body_write(const ConnectionPtr& connection);
  void on_output_written(const ConnectionPtr& connection);
  void request_body_piece(const ConnectionPtr& connection);

  // Completion and failure of attempts.
  ResponseEvents response_events();
  // Ends an attempt before the last byte of its request was written. The event loop reports it.
  void fail_unwritten(const ConnectionPtr& connection, Outcome outcome);
  void on_broken(const ConnectionPtr& connection);
  void complete_without_response(const ConnectionPtr& connection, Outcome outcome,
                                 ConnectionCondition condition);
  void complete(const ConnectionPtr& connection, AttemptResult result,
                ConnectionCondition condition);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  AttemptEvents attempt_events_;
  ConnectionEvents connection_events_;
  // The connection of each attempt, from assign() until the attempt ends.
  std::unordered_map<AttemptKey, ConnectionPtr, AttemptKeyHash> attempts_;
  ResponseReader reader_;
};

}  // namespace quota_gateway::net
