// Runs attempts on connections: writes the request, has ResponseReader read the response, fails
// what has stopped making progress, and reports it all as AttemptEvents. Owned by ConnectionPool,
// which opens the connections, hands each over with start() and takes it back in
// ConnectionEvents::on_released.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>

#include "net/event_loop/timers.hpp"
#include "net/http/forwarded_request.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/response_reader.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Callbacks to the owner of the connections; both may come from within a call to AttemptRunner.
struct ConnectionEvents {
  // The attempt is over and the connection is the owner's again, to be kept idle or closed. Runs
  // before AttemptEvents::on_complete.
  std::function<void(const UpstreamConnectionPtr&, ConnectionCondition)> on_released;
  // The server has closed an idle connection, or has sent a response to no request.
  std::function<void(const UpstreamConnectionPtr&)> on_idle_readable;
};

class AttemptRunner {
 public:
  AttemptRunner(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                AttemptEvents attempt_events, ConnectionEvents connection_events);
  AttemptRunner(const AttemptRunner&) = delete;
  AttemptRunner& operator=(const AttemptRunner&) = delete;

  // Assigns an attempt to a connection that carries no other. The connection may still be
  // connecting. `deadline` is an instant of the clock; the server is told the time left.
  void assign(AttemptKey key, const UpstreamConnectionPtr& connection,
              const ForwardedRequest& request, Micros deadline);
  // Begins the assigned attempt, once the connection is established.
  void start(const UpstreamConnectionPtr& connection);
  // Ends the assigned attempt without a response.
  void fail(const UpstreamConnectionPtr& connection, Outcome outcome);
  // Reports, from the event loop, that an attempt without a connection has failed.
  void fail_unassigned(AttemptKey key, Outcome outcome);

  // As in ConnectionPool.
  void send_body_piece(AttemptKey key, const std::string& piece, bool is_last);
  void resume(AttemptKey key);
  bool abandon(AttemptKey key);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;
  using Delivery = UpstreamConnection::Delivery;

  // Writing of requests.
  void write_remaining(const ConnectionPtr& connection, std::size_t offset);
  void on_remaining_written(const ConnectionPtr& connection, bool failed);
  void watch_body_write(const ConnectionPtr& connection);
  void on_output_written(const ConnectionPtr& connection);

  // Ends of attempts.
  ResponseEvents response_events();
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
  // The connection of each attempt in flight, from assign() to its end.
  std::unordered_map<AttemptKey, ConnectionPtr, AttemptKeyHash> attempts_;
  ResponseReader reader_;
};

}  // namespace quota_gateway::net
