// Reads the responses of attempts: parses what arrives, delivers a long response in pieces, and
// fails one that has stopped arriving. Owned by AttemptRunner. No method reports anything from
// within its call; all follows from the event loop.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>

#include "net/event_loop/timers.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// us for which a server may make no progress with a long body, of a request or of a response.
inline constexpr Micros kStreamStallTimeout = 5'000'000;

// How reading went on. All but the last lead to the attempt's end. Called from the event loop only.
struct ResponseEvents {
  // The response is complete, or nothing more of it is needed.
  std::function<void(const UpstreamConnectionPtr&, AttemptResult, ConnectionCondition)> on_complete;
  // No usable response can follow on this connection.
  std::function<void(const UpstreamConnectionPtr&, Outcome)> on_failed;
  // The connection was closed or reset, or bytes arrived that can't be a response.
  std::function<void(const UpstreamConnectionPtr&)> on_broken;
  // The server has closed an idle connection, or has sent a response to no request.
  std::function<void(const UpstreamConnectionPtr&)> on_idle_readable;
};

class ResponseReader {
 public:
  // `attempt_events` must outlive the reader.
  ResponseReader(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 const AttemptEvents& attempt_events, ResponseEvents response_events);
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  // Reads from the connection once it has something to read. Does nothing if that is awaited
  // already, as on a connection that is reused.
  void read(const UpstreamConnectionPtr& connection);
  // The outstanding piece of a long response has been passed on; goes on behind it.
  void resume(const UpstreamConnectionPtr& connection);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;
  using Delivery = UpstreamConnection::Delivery;

  void on_readable(const ConnectionPtr& connection, boost::system::error_code error);
  void on_received(const ConnectionPtr& connection, std::size_t size);
  void process_received(const ConnectionPtr& connection, bool is_first_part);

  // Fails the attempt if the response stops arriving.
  void watch_progress(const ConnectionPtr& connection);
  void check_progress(const ConnectionPtr& connection);

  // Delivers what has arrived of a long response. False if there is nothing to deliver.
  bool deliver_part(const ConnectionPtr& connection);
  void deliver_beginning(const ConnectionPtr& connection);
  void deliver_piece(const ConnectionPtr& connection);

  void on_response_complete(const ConnectionPtr& connection);
  void receive_trailing_bytes(const ConnectionPtr& connection);
  void complete(const ConnectionPtr& connection) const;

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const AttemptEvents& attempt_events_;
  ResponseEvents response_events_;
  // Receives what is being read. Shared by all connections: each read is processed at once.
  std::array<char, 32 << 10> read_buffer_;
};

}  // namespace quota_gateway::net
