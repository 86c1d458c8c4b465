#include "net/upstream/connection_pool.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

#include "net/event_loop/exception_guard.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Time between two searches for connections that have been idle for too long.
constexpr Micros kExpiryInterval = 500'000;  // us

ServerProcess process_of(const UpstreamConnection& connection) {
  return {connection.server, connection.server_started_at};
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, Timers& timers, const Clock& clock,
                               ConnectionPoolLimits limits, AttemptEvents events)
    : io_(io),
      timers_(timers),
      clock_(clock),
      limits_(limits),
      idle_reuse_(limits.server_idle_timeout),
      attempts_(io, timers, clock, limits.buffers, std::move(events), connection_events()) {
  timers_.every(kExpiryInterval, [this] { close_expired(); });
}

ConnectionPool::~ConnectionPool() = default;

ConnectionEvents ConnectionPool::connection_events() {
  ConnectionEvents events;
  events.on_released = [this](const ConnectionPtr& connection, ConnectionCondition condition) {
    on_released(connection, condition);
  };
  events.on_idle_readable = [this](const ConnectionPtr& connection) {
    on_idle_readable(connection);
  };
  return events;
}

std::vector<std::string> ConnectionPool::update(const EndpointList& list) {
  std::vector<std::string> replaced;
  enqueue_list(list);
  while (!lists_applied()) {
    for (auto& server : apply().replaced) {
      replaced.push_back(std::move(server));
    }
  }
  return replaced;
}

EndpointChanges ConnectionPool::apply() {
  EndpointChanges changes = endpoints_.apply();
  // Connections to a process that no longer exists may stay open without ever reporting an error.
  for (const auto& server : changes.stale_connections) {
    close_idle_to(server);
  }
  return changes;
}

void ConnectionPool::set_max_connections(std::size_t max_connections) {
  limits_.max_connections = max_connections;
  while (open_connections_ > max_connections && close_oldest_idle()) {
  }
}

AttemptHandle ConnectionPool::send(AttemptKey key, const std::string& server,
                                   const ForwardedRequest& request, AttemptTimes times) {
  start_attempt(key, server, request, times);
  return {attempts_, key};
}

void ConnectionPool::start_attempt(AttemptKey key, const std::string& server,
                                   const ForwardedRequest& request, AttemptTimes times) {
  const auto endpoint = endpoints_.find(server);
  if (!endpoint || !endpoint->up) {
    return attempts_.fail_unassigned(key, Outcome::kNotSent);
  }
  ConnectionPtr connection = take_idle(server, *endpoint);
  const bool is_new = !connection;
  if (is_new) {
    connection = create(server, *endpoint);
  }
  if (!connection) {
    return attempts_.fail_unassigned(key, Outcome::kNotSent);
  }
  attempts_.assign(key, connection, request, times);
  if (is_new) {
    connect(connection);
  } else {
    attempts_.start(connection);
  }
}

void ConnectionPool::send_body_piece(AttemptKey key, const std::string& piece, bool is_last) {
  attempts_.send_body_piece(key, piece, is_last);
}

void ConnectionPool::resume(AttemptKey key) {
  attempts_.resume(key);
}

ConnectionCounts ConnectionPool::connection_counts() const {
  return {.open = open_connections_, .idle = idle_.size(), .in_use = attempts_.counts()};
}

// A server may send extra bytes shortly after a response. If the connection were reused
// immediately, these bytes would be parsed as the response to the next request. A server that holds
// few connections would reject a new one instead, so there such bytes are recognised by their body.
ConnectionPool::ConnectionPtr ConnectionPool::find_reusable(const ServerProcess& process,
                                                            Micros now) {
  ConnectionPtr connection = idle_.most_recent(process.server, now - limits_.reuse_delay);
  if (connection || !reuse_policy_.may_reuse_early(process)) {
    return connection;
  }
  connection = idle_.most_recent(process.server, now - limits_.early_reuse_delay);
  if (!connection || connection->had_long_response ||
      connection->server_started_at != process.started_at) {
    return nullptr;
  }
  connection->suspects_same_body = reuse_policy_.suspects_same_body(process);
  return connection;
}

ConnectionPool::ConnectionPtr ConnectionPool::take_idle(const std::string& server,
                                                        const EndpointStatus& endpoint) {
  const Micros now = clock_.now();
  while (true) {
    ConnectionPtr connection = find_reusable({server, endpoint.started_at}, now);
    if (!connection) {
      return nullptr;
    }
    const Micros idle_time = now - connection->idle_since;
    if (connection->is_open_without_unread_data() && idle_time < idle_reuse_.max_idle()) {
      connection->idle_before_request = idle_time;
      idle_.remove(*connection);
      return connection;
    }
    // The server has closed the connection or may do so soon, or has sent bytes without a request.
    on_idle_readable(connection);
  }
}

ConnectionPool::ConnectionPtr ConnectionPool::create(const std::string& server,
                                                     const EndpointStatus& endpoint) {
  if (open_connections_ >= limits_.max_connections && !close_oldest_idle()) {
    return nullptr;
  }
  auto connection = std::make_shared<UpstreamConnection>(io_);
  connection->server = server;
  connection->address = endpoint.address;
  connection->server_started_at = endpoint.started_at;
  ++open_connections_;
  return connection;
}

void ConnectionPool::connect(const ConnectionPtr& connection) {
  connect_socket(connection->socket, connection->address, [this, connection](error_code ec) {
    if (connection->state != State::kConnecting) {
      return;
    }
    if (ec) {
      return attempts_.fail(connection, Outcome::kConnectFailed);
    }
    if (!run_and_log_exceptions("attempt", [&] { on_connected(connection); }) &&
        connection->state != State::kClosed) {
      attempts_.fail(connection, Outcome::kConnectFailed);
    }
  });
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.after(limits_.connect_timeout, [this, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->state == State::kConnecting) {
      attempts_.fail(connection, Outcome::kConnectFailed);
    }
  });
}

void ConnectionPool::on_connected(const ConnectionPtr& connection) {
  // While the connection was being established, the server may have begun to drain, been removed,
  // moved or restarted.
  const auto endpoint = endpoints_.find(connection->server);
  const bool is_current = endpoint && endpoint->up && endpoint->address == connection->address &&
                          endpoint->started_at == connection->server_started_at;
  if (!is_current) {
    return attempts_.fail(connection, Outcome::kNotSent);
  }
  error_code ignored;
  connection->socket.non_blocking(true, ignored);
  attempts_.start(connection);
}

void ConnectionPool::on_released(const ConnectionPtr& connection, ConnectionCondition condition) {
  update_idle_reuse(*connection, condition);
  update_reuse_policy(*connection);
  if (condition == ConnectionCondition::kUnsolicitedBytes) {
    on_unsolicited_bytes(*connection);
  }
  if (condition == ConnectionCondition::kReusable && is_listed(*connection) &&
      reuse_policy_.may_reuse(process_of(*connection))) {
    keep_idle(connection);
  } else {
    close(*connection);
  }
}

void ConnectionPool::update_reuse_policy(const UpstreamConnection& connection) {
  if (!connection.is_final_head_done()) {
    return;
  }
  const ServerProcess process = process_of(connection);
  const bool is_first = connection.idle_before_request == 0;
  if (is_first && connection.outcome() == Outcome::kOverloaded) {
    reuse_policy_.on_connection_rejected(process);
  } else if (connection.suspects_same_body && connection.repeats_body()) {
    reuse_policy_.on_suspected_copy(process);
  } else if (!is_first && connection.outcome() == Outcome::kOk) {
    reuse_policy_.on_response(process, connection.repeats_body());
  }
}

void ConnectionPool::update_idle_reuse(const UpstreamConnection& connection,
                                       ConnectionCondition condition) {
  switch (condition) {
    case ConnectionCondition::kReusable:
    case ConnectionCondition::kNotReusable:
    case ConnectionCondition::kUnsolicitedBytes:
      return idle_reuse_.on_response(connection.idle_before_request);
    case ConnectionCondition::kBrokenBeforeResponse:
      return idle_reuse_.on_reset(connection.idle_before_request);
    case ConnectionCondition::kBroken:
      return;
  }
}

bool ConnectionPool::is_listed(const UpstreamConnection& connection) const {
  const auto endpoint = endpoints_.find(connection.server);
  return endpoint && endpoint->up && endpoint->address == connection.address;
}

void ConnectionPool::keep_idle(const ConnectionPtr& connection) {
  connection->state = State::kIdle;
  connection->idle_since = clock_.now();
  connection->suspects_same_body = false;
  connection->had_long_response = connection->delivery != UpstreamConnection::Delivery::kBuffered;
  connection->release_memory();
  idle_.add(connection);
  if (limits_.max_observation > 0 && connection->repeats_response() &&
      reuse_policy_.begin_observation(process_of(*connection))) {
    observe(connection);
  }
}

void ConnectionPool::observe(const ConnectionPtr& connection) {
  connection->is_observed = true;
  const Micros end = std::min(connection->times.deadline, clock_.now() + limits_.max_observation);
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(end, [this, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->is_observed) {
      end_observation(*connection, connection->is_open_without_unread_data());
    }
  });
}

void ConnectionPool::end_observation(UpstreamConnection& connection, bool was_silent) {
  connection.is_observed = false;
  reuse_policy_.end_observation(process_of(connection), was_silent);
}

void ConnectionPool::on_idle_readable(const ConnectionPtr& connection) {
  if (connection->has_unread_data()) {
    on_unsolicited_bytes(*connection);
  }
  close(*connection);
}

// The next such bytes may be on their way on any connection to the server.
void ConnectionPool::on_unsolicited_bytes(const UpstreamConnection& connection) {
  reuse_policy_.on_unsolicited_bytes(process_of(connection));
  attempts_.distrust(connection.server);
  close_idle_to(connection.server);
}

bool ConnectionPool::close_oldest_idle() {
  const ConnectionPtr oldest = idle_.oldest();
  if (!oldest) {
    return false;
  }
  close(*oldest);
  return true;
}

void ConnectionPool::close_idle_to(const std::string& server) {
  for (const ConnectionPtr& connection : idle_.to_server(server)) {
    close(*connection);
  }
}

void ConnectionPool::close_expired() {
  for (const ConnectionPtr& connection : idle_.idle_since(clock_.now() - idle_reuse_.max_idle())) {
    close(*connection);
  }
}

void ConnectionPool::close(UpstreamConnection& connection) {
  if (connection.state == State::kClosed) {
    return;
  }
  if (connection.state == State::kIdle) {
    idle_.remove(connection);
  }
  if (connection.is_observed) {
    end_observation(connection, false);
  }
  connection.state = State::kClosed;
  --open_connections_;
  error_code ignored;
  connection.socket.close(ignored);
}

}  // namespace quota_gateway::net
