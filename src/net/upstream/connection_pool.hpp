// Manages the connections to servers: opens up to a maximum number of connections, keeps idle ones
// for reuse, and closes idle connections to servers that were removed, moved or restarted.
// AttemptRunner runs the attempts on the connections. ConnectionPool also owns the table of
// endpoints that attempts can be sent to. GatewayServer owns the pool; RequestDispatcher starts
// attempts, requests own them, and EndpointListApplier applies endpoint lists.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_table.hpp"
#include "net/event_loop/timers.hpp"
#include "net/http/buffer_limits.hpp"
#include "net/http/forwarded_request.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/attempt_handle.hpp"
#include "net/upstream/attempt_runner.hpp"
#include "net/upstream/connection_reuse_policy.hpp"
#include "net/upstream/idle_connections.hpp"
#include "net/upstream/idle_reuse_estimator.hpp"
#include "net/upstream/upstream_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Timeouts and limits of a ConnectionPool. Durations are in microseconds.
struct ConnectionPoolLimits {
  // Idle time after which servers close a connection.
  Micros server_idle_timeout = 15'000'000;
  // Maximum time to establish a connection.
  Micros connect_timeout = 250'000;
  // Maximum number of connections to all servers together: connecting, in use or idle.
  std::size_t max_connections = 400;
  // Time after a response during which the connection is not reused, because trailing bytes of the
  // response may still arrive.
  Micros reuse_delay = 60'000;
  // The same time for servers that hold few connections, see ConnectionReusePolicy.
  Micros early_reuse_delay = 10'000;
  // Maximum time for which a connection is observed before its reuse because a response on it may
  // have been a second copy. Its own response comes within the client's deadline if at all. 0:
  // connections are not observed.
  Micros max_observation = 3'000'000;
  BufferLimits buffers;  // of each connection
};

// The connections of a pool.
struct ConnectionCounts {
  std::size_t open = 0;  // in any state
  std::size_t idle = 0;
  AttemptRunner::Counts in_use;
};

// The pool of connections to all servers.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 ConnectionPoolLimits limits, AttemptEvents events);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Appends an endpoint list to the lists that apply() is going to process; see EndpointTable.
  void enqueue_list(EndpointList list) { endpoints_.enqueue(std::move(list)); }
  // Applies the next slice of the pending lists and returns the resulting changes. Closes idle
  // connections to servers that were removed, moved or restarted.
  EndpointChanges apply();
  // Returns whether all enqueued lists were applied.
  bool lists_applied() const { return endpoints_.is_idle(); }
  // Applies `list`, and any pending lists before it, within this call. Returns the servers that
  // were removed because another server now has their address.
  std::vector<std::string> update(const EndpointList& list);

  // Starts an attempt, which ends at the latest with the returned handle. Unless the attempt is
  // abandoned, AttemptEvents::on_complete follows, but not from within this call. `request` must
  // exist until the attempt ends.
  [[nodiscard]] AttemptHandle send(AttemptKey key, const std::string& server,
                                   const ForwardedRequest& request, AttemptTimes times);
  // Sends the next piece of a request's body, in reply to AttemptEvents::on_body_piece_needed. An
  // attempt that did not request it ends with kConnectFailed.
  void send_body_piece(AttemptKey key, const std::string& piece, bool is_last);
  // Continues reading a response that is delivered in pieces. The caller calls this after it has
  // forwarded the last delivered piece.
  void resume(AttemptKey key);

  // The number of listed servers, and whether at least one of them is up.
  std::size_t endpoint_count() const { return endpoints_.size(); }
  bool has_endpoint_up() const { return endpoints_.up_count() > 0; }

  ConnectionCounts connection_counts() const;

  // Changes the maximum number of connections. Closes idle connections that exceed it.
  void set_max_connections(std::size_t max_connections);

 private:
  using ConnectionPtr = UpstreamConnectionPtr;
  using State = UpstreamConnection::State;

  // Opening and reusing connections.
  ConnectionPtr take_idle(const std::string& server, const EndpointStatus& endpoint);
  // Returns an idle connection that has been idle long enough, or null.
  ConnectionPtr find_reusable(const ServerProcess& process, Micros now);
  // Starts an attempt, or reports that it cannot be sent.
  void start_attempt(AttemptKey key, const std::string& server, const ForwardedRequest& request,
                     AttemptTimes times);
  // Returns null if the maximum number of connections is reached and none is idle.
  ConnectionPtr create(const std::string& server, const EndpointStatus& endpoint);
  void connect(const ConnectionPtr& connection);
  void on_connected(const ConnectionPtr& connection);

  // Handling a connection after its attempt.
  ConnectionEvents connection_events();
  void on_released(const ConnectionPtr& connection, ConnectionCondition condition);
  void update_reuse_policy(const UpstreamConnection& connection);
  void update_idle_reuse(const UpstreamConnection& connection, ConnectionCondition condition);
  bool is_listed(const UpstreamConnection& connection) const;
  void keep_idle(const ConnectionPtr& connection);
  // Leaves the idle connection out of use for some time.
  void observe(const ConnectionPtr& connection);
  void end_observation(UpstreamConnection& connection, bool was_silent);
  // An idle connection was closed by its server, or has bytes that no request awaits.
  void on_idle_readable(const ConnectionPtr& connection);
  void on_unsolicited_bytes(const UpstreamConnection& connection);

  // Closing connections.
  void close(UpstreamConnection& connection);
  // Closes the connection that has been idle longest. Returns false if none is idle.
  bool close_oldest_idle();
  void close_idle_to(const std::string& server);
  // Closes connections that have been idle for too long.
  void close_expired();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  ConnectionPoolLimits limits_;
  EndpointTable endpoints_;
  IdleConnections idle_;
  // Number of connections that are connecting, in use or idle.
  std::size_t open_connections_ = 0;
  IdleReuseEstimator idle_reuse_;
  ConnectionReusePolicy reuse_policy_;
  AttemptRunner attempts_;
};

}  // namespace quota_gateway::net
