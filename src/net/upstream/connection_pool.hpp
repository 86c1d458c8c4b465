// Connections to servers: opens them within a limit, keeps idle ones for reuse, and closes those
// whose server was removed, moved or restarted. AttemptRunner runs the attempts on them. Also holds
// the table of endpoints that attempts may go to. Owned by GatewayServer, whose RequestDispatcher
// starts and abandons attempts; its EndpointListApplier applies endpoint lists.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_table.hpp"
#include "net/event_loop/timers.hpp"
#include "net/http/forwarded_request.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/attempt_runner.hpp"
#include "net/upstream/idle_connections.hpp"
#include "net/upstream/idle_reuse_estimator.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct ConnectionPoolLimits {
  // us after which servers close an idle connection.
  Micros server_idle_timeout = 15'000'000;
  // us
  Micros connect_timeout = 250'000;
  // Open connections to all servers, in use or idle.
  std::size_t max_connections = 400;
  // us after a response in which more bytes may follow; until then the connection isn't reused.
  Micros reuse_delay = 10'000;
};

class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 ConnectionPoolLimits limits, AttemptEvents events);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Enqueues an endpoint list for apply(), behind those still pending; see EndpointTable.
  void enqueue_list(EndpointList list) { endpoints_.enqueue(std::move(list)); }
  // Applies the next slice of the pending lists and returns what has changed. Closes idle
  // connections to servers that were removed, moved or restarted.
  EndpointChanges apply();
  // Whether all pending lists were applied.
  bool lists_applied() const { return endpoints_.is_idle(); }
  // Applies a complete list at once. Returns the servers whose address now belongs to another one.
  std::vector<std::string> update(const EndpointList& list);

  // Starts an attempt. Unless it is abandoned, AttemptEvents::on_complete follows, never from
  // within this call. `deadline` is an instant of the clock; the server is told the time left.
  void send(AttemptKey key, const std::string& server, const ForwardedRequest& request,
            Micros deadline);
  // Sends the next piece of a request's body, after AttemptEvents::on_body_piece_needed.
  void send_body_piece(AttemptKey key, const std::string& piece, bool is_last);
  // The piece of the response that was delivered last has been passed on; reads the next.
  void resume(AttemptKey key);
  // Closes the attempt's connection; no event follows. True if the request's last byte may have
  // been written.
  bool abandon(AttemptKey key);

  // Listed servers, and whether any of them accepts requests.
  std::size_t endpoint_count() const { return endpoints_.size(); }
  bool has_endpoint_up() const { return endpoints_.up_count() > 0; }

  // Changes the limit on open connections. Closes idle connections beyond it.
  void set_max_connections(std::size_t max_connections);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;

  // Reuse and opening of connections.
  ConnectionPtr take_idle(const std::string& server);
  // Null if the limit is reached and no connection is idle.
  ConnectionPtr create(const std::string& server, const EndpointStatus& endpoint);
  void connect(const ConnectionPtr& connection);
  void on_connected(const ConnectionPtr& connection);

  // Keeping of connections after an attempt.
  ConnectionEvents connection_events();
  void on_released(const ConnectionPtr& connection, ConnectionCondition condition);
  void update_idle_reuse(const UpstreamConnection& connection, ConnectionCondition condition);
  bool is_listed(const UpstreamConnection& connection) const;
  void keep_idle(const ConnectionPtr& connection);

  // Closing of connections.
  void close(UpstreamConnection& connection);
  // Closes the connection that has been idle longest. False if none is idle.
  bool close_oldest_idle();
  void close_idle_to(const std::string& server);
  // Closes what has been idle too long, periodically.
  void close_expired();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  ConnectionPoolLimits limits_;
  EndpointTable endpoints_;
  IdleConnections idle_;
  // Connecting, in use or idle.
  std::size_t open_connections_ = 0;
  IdleReuseEstimator idle_reuse_;
  AttemptRunner attempts_;
};

}  // namespace quota_gateway::net
