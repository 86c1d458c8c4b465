#include "net/upstream/connection_pool.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <memory>
#include <utility>

#include "net/http/framing.hpp"
#include "net/upstream/response_classifier.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// us between searches for connections that have been idle too long.
constexpr Micros kExpiryInterval = 500'000;
// Interim responses (1xx) ahead of a final one.
constexpr int kMaxInterimResponses = 16;
// us without a byte of a response that has begun, after which it counts as stuck, not slow.
constexpr Micros kResponseStallTimeout = 250'000;
// The same for a response of which a part was delivered, and for the server to read a piece of a
// request's body.
constexpr Micros kStreamStallTimeout = 5'000'000;

Micros stall_timeout(const UpstreamConnection& connection) {
  return connection.delivery == UpstreamConnection::Delivery::kBuffered ? kResponseStallTimeout
                                                                        : kStreamStallTimeout;
}

AttemptResult take_attempt_result(UpstreamConnection& connection) {
  return take_result(connection.parser->get(), connection.first_byte_at);
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, Timers& timers, const Clock& clock,
                               ConnectionPoolLimits limits, AttemptEvents events)
    : io_(io),
      timers_(timers),
      clock_(clock),
      limits_(limits),
      events_(std::move(events)),
      idle_reuse_(limits.server_idle_limit) {
  close_expired();
}

ConnectionPool::~ConnectionPool() = default;

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
  // Connections to a process that is gone may stay open and silent.
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

void ConnectionPool::send(AttemptKey key, const std::string& server,
                          const ForwardedRequest& request, Micros deadline) {
  const auto endpoint = endpoints_.find(server);
  if (!endpoint || !endpoint->up) {
    return fail_later(key, Outcome::kNotSent);
  }
  ConnectionPtr connection = take_idle(server);
  const bool is_new = !connection;
  if (is_new) {
    connection = create(server, *endpoint);
  }
  if (!connection) {
    return fail_later(key, Outcome::kNotSent);
  }
  connection->attempt = key;
  connection->encode_request(request, std::max<Micros>(1, deadline - clock_.now()));
  attempts_.emplace(key, connection);
  if (is_new) {
    connect(connection);
  } else {
    start_request(connection);
  }
}

void ConnectionPool::send_body_piece(AttemptKey key, const std::string& piece, bool is_last) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end()) {
    return;
  }
  const ConnectionPtr connection = entry->second;
  if (!connection->body_incomplete || connection->write_pending) {
    return;
  }
  connection->encode_body_piece(piece, is_last);
  if (connection->output.empty()) {
    on_output_written(connection);
  } else {
    write_remaining(connection, 0);
  }
}

void ConnectionPool::resume(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end() || entry->second->delivery != Delivery::kPieceOutstanding) {
    return;
  }
  const ConnectionPtr connection = entry->second;
  connection->delivery = Delivery::kStreaming;
  connection->last_progress_at = clock_.now();
  if (!connection->response_complete) {
    return read(connection);
  }
  asio::post(io_, [this, connection, key] {
    if (connection->state == State::kWaiting && connection->attempt == key) {
      complete_with_response(connection);
    }
  });
}

bool ConnectionPool::abandon(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end()) {
    return false;
  }
  const ConnectionPtr connection = entry->second;
  const bool was_written = connection->state != State::kConnecting && !connection->body_incomplete;
  attempts_.erase(entry);
  connection->reset_on_close();
  close(*connection);
  return was_written;
}

ConnectionPool::ConnectionPtr ConnectionPool::take_idle(const std::string& server) {
  const Micros now = clock_.now();
  while (true) {
    // Without the delay, what still follows a response would be read as that to the next request.
    ConnectionPtr connection = idle_.most_recent(server, now - limits_.reuse_delay);
    if (!connection) {
      return nullptr;
    }
    const Micros idle_time = now - connection->idle_since;
    if (connection->is_open_and_silent() && idle_time < idle_reuse_.max_idle()) {
      connection->idle_before_request = idle_time;
      idle_.remove(*connection);
      return connection;
    }
    // Closed by the server, about to be, or with a response to no request.
    close(*connection);
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
  timers_.after(kExpiryInterval, [this] { close_expired(); });
}

void ConnectionPool::close(UpstreamConnection& connection) {
  if (connection.state == State::kClosed) {
    return;
  }
  if (connection.state == State::kIdle) {
    idle_.remove(connection);
  }
  connection.state = State::kClosed;
  --open_connections_;
  error_code ignored;
  connection.socket.close(ignored);
}

void ConnectionPool::connect(const ConnectionPtr& connection) {
  connection->socket.async_connect(connection->address, [this, connection](error_code ec) {
    if (connection->state != State::kConnecting) {
      return;
    }
    if (ec) {
      return fail(connection, Outcome::kConnectFailed);
    }
    on_connected(connection);
  });
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.after(limits_.connect_timeout, [this, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->state == State::kConnecting) {
      fail(connection, Outcome::kConnectFailed);
    }
  });
}

void ConnectionPool::on_connected(const ConnectionPtr& connection) {
  // While the connection was being established the server may have begun to drain, or have been
  // replaced by another process.
  const auto endpoint = endpoints_.find(connection->server);
  const bool is_current = endpoint && endpoint->up && endpoint->address == connection->address &&
                          endpoint->started_at == connection->server_started_at;
  if (!is_current) {
    return fail(connection, Outcome::kNotSent);
  }
  error_code ignored;
  connection->socket.set_option(tcp::no_delay(true), ignored);
  connection->socket.non_blocking(true, ignored);
  start_request(connection);
}

// Writes a small request at once: then it is certain whether its last byte was written.
void ConnectionPool::start_request(const ConnectionPtr& connection) {
  connection->state = State::kWriting;
  connection->begin_response();
  error_code ec;
  const std::size_t size = connection->socket.write_some(asio::buffer(connection->output), ec);
  if (size == connection->output.size()) {
    on_output_written(connection);
  } else if (ec && ec != asio::error::would_block) {
    const AttemptKey key = connection->attempt;
    attempts_.erase(key);
    close(*connection);
    // The request's last byte was never written.
    return fail_later(key, Outcome::kConnectFailed);
  } else {
    write_remaining(connection, size);
  }
  read(connection);
}

void ConnectionPool::write_remaining(const ConnectionPtr& connection, std::size_t offset) {
  connection->write_pending = true;
  const auto remaining = asio::buffer(connection->output) + offset;
  asio::async_write(connection->socket, remaining, [this, connection](error_code ec, std::size_t) {
    connection->write_pending = false;
    if (connection->state == State::kWriting) {
      on_remaining_written(connection, ec.failed());
    }
  });
  if (connection->body_incomplete) {
    watch_body_write(connection);
  }
}

void ConnectionPool::on_remaining_written(const ConnectionPtr& connection, bool failed) {
  if (failed) {
    return fail(connection, Outcome::kConnectFailed);
  }
  on_output_written(connection);
  if (connection->broke_while_writing) {
    fail(connection, connection->body_incomplete ? Outcome::kConnectFailed : Outcome::kReset);
  }
}

// Fails the attempt if the server reads nothing of a long body.
void ConnectionPool::watch_body_write(const ConnectionPtr& connection) {
  const AttemptKey key = connection->attempt;
  const std::uint64_t write = ++connection->watched_writes;
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.after(kStreamStallTimeout, [this, key, write, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->state == State::kWriting && connection->attempt == key &&
        connection->write_pending && connection->watched_writes == write) {
      fail(connection, Outcome::kConnectFailed);
    }
  });
}

void ConnectionPool::on_output_written(const ConnectionPtr& connection) {
  if (!connection->body_incomplete) {
    connection->state = State::kWaiting;
    events_.on_request_written(connection->attempt);
    return;
  }
  asio::post(io_, [this, connection, key = connection->attempt] {
    if (connection->state == State::kWriting && connection->attempt == key) {
      events_.on_body_wanted(key);
    }
  });
}

void ConnectionPool::read(const ConnectionPtr& connection) {
  if (connection->read_pending) {
    return;
  }
  connection->read_pending = true;
  connection->socket.async_wait(tcp::socket::wait_read, [this, connection](error_code ec) {
    connection->read_pending = false;
    on_readable(connection, ec);
  });
}

void ConnectionPool::on_readable(const ConnectionPtr& connection, error_code error) {
  if (connection->state == State::kClosed) {
    return;
  }
  if (connection->state == State::kIdle) {
    return close(*connection);  // closed by the server, or a response to no request
  }
  std::size_t size = 0;
  if (!error) {
    size = connection->socket.read_some(asio::buffer(read_buffer_), error);
  }
  if (error == asio::error::would_block) {
    return read(connection);
  }
  if (error) {
    return on_broken(connection);
  }
  on_received(connection, size);
  if (connection->state != State::kClosed && !connection->broke_while_writing &&
      connection->delivery != Delivery::kPieceOutstanding) {
    read(connection);
  }
}

void ConnectionPool::on_received(const ConnectionPtr& connection, std::size_t size) {
  // Bytes that arrive before the request was written can't be its response, unless the server wants
  // no more of a long one.
  if (connection->state == State::kWriting && !connection->body_incomplete) {
    return on_broken(connection);
  }
  const bool is_first_part = !connection->has_response_bytes();
  connection->last_progress_at = clock_.now();
  if (is_first_part) {
    connection->first_byte_at = connection->last_progress_at;
  }
  connection->received.append(read_buffer_.data(), size);
  try {
    process_received(connection, is_first_part);
  } catch (const std::exception&) {
    fail(connection, connection->body_incomplete ? Outcome::kConnectFailed : Outcome::kReset);
  }
}

void ConnectionPool::process_received(const ConnectionPtr& connection, bool is_first_part) {
  while (connection->parse_received()) {
    if (!is_interim(connection->parser->get())) {
      return on_response_complete(connection);
    }
    if (++connection->interim_responses > kMaxInterimResponses) {
      throw HttpError("too many interim responses");
    }
    connection->expect_response();
    if (connection->received.empty()) {
      return;
    }
  }
  if (is_first_part) {
    watch_response(connection);
  }
  if (!connection->body_incomplete) {
    deliver_part(connection);
  }
}

// Without this, a response whose stated length is too large would hold its request until the
// deadline, with no time left for another attempt. A response that is only slow keeps arriving.
void ConnectionPool::watch_response(const ConnectionPtr& connection) {
  const AttemptKey key = connection->attempt;
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(connection->last_progress_at + stall_timeout(*connection), [this, key, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->state == State::kWaiting && connection->attempt == key) {
      check_response_progress(connection);
    }
  });
}

void ConnectionPool::check_response_progress(const ConnectionPtr& connection) {
  if (!connection->has_response_bytes()) {
    return;
  }
  if (connection->delivery == Delivery::kPieceOutstanding) {
    connection->last_progress_at = clock_.now();  // the client is slow, not the server
  }
  if (clock_.now() - connection->last_progress_at < stall_timeout(*connection)) {
    return watch_response(connection);
  }
  fail(connection, Outcome::kReset);
}

bool ConnectionPool::deliver_part(const ConnectionPtr& connection) {
  auto& parser = *connection->parser;
  auto& response = parser.get();
  if (!parser.is_header_done() || is_interim(response)) {
    return false;
  }
  const bool is_streaming = connection->delivery != Delivery::kBuffered;
  const auto length = parser.content_length();
  const auto known_size = std::max<std::uint64_t>(response.body().size(), length.value_or(0));
  if (!is_streaming && known_size <= kMaxBufferedBodyBytes) {
    return false;
  }
  if (outcome_of(response) != Outcome::kOk) {  // nobody needs the rest of it
    complete(connection, take_attempt_result(*connection), AfterAttempt::kCloseConnection);
    return true;
  }
  if (is_streaming && response.body().empty()) {
    return false;
  }
  connection->delivery = Delivery::kPieceOutstanding;
  if (is_streaming) {
    events_.on_response_piece(connection->attempt, std::exchange(response.body(), {}));
    return true;
  }
  std::optional<std::uint64_t> stated_length;
  if (length) {
    stated_length = *length;
  }
  events_.on_response_started(connection->attempt, take_attempt_result(*connection), stated_length);
  return true;
}

void ConnectionPool::on_response_complete(const ConnectionPtr& connection) {
  if (connection->body_incomplete) {
    // A server that rejects a request of which it has seen only a part has not run it.
    const bool is_overloaded = outcome_of(connection->parser->get()) == Outcome::kOverloaded;
    return fail(connection, is_overloaded ? Outcome::kOverloaded : Outcome::kConnectFailed);
  }
  error_code ec;
  if (connection->received.empty() && connection->socket.available(ec) > 0) {
    const std::size_t size = connection->socket.read_some(asio::buffer(read_buffer_), ec);
    connection->received.assign(read_buffer_.data(), size);
  }
  if (connection->may_be_truncated()) {
    return fail(connection, Outcome::kReset);
  }
  connection->response_complete = true;
  const bool is_streaming = connection->delivery != Delivery::kBuffered;
  if (!is_streaming || !deliver_part(connection)) {
    complete_with_response(connection);
  }
}

void ConnectionPool::complete_with_response(const ConnectionPtr& connection) {
  idle_reuse_.on_response(connection->idle_before_request);
  const bool can_be_reused = connection->parser->get().keep_alive() && connection->received.empty();
  complete(connection, take_attempt_result(*connection),
           can_be_reused ? AfterAttempt::kKeepConnection : AfterAttempt::kCloseConnection);
}

void ConnectionPool::on_broken(const ConnectionPtr& connection) {
  if (connection->state != State::kWriting) {
    if (!connection->has_response_bytes()) {
      idle_reuse_.on_reset(connection->idle_before_request);
    }
    return fail(connection, Outcome::kReset);
  }
  if (!connection->write_pending) {
    return fail(connection, Outcome::kConnectFailed);
  }
  // The last byte may have been written with only the notification of it outstanding. The write's
  // handler, which runs next, decides.
  connection->broke_while_writing = true;
  error_code ignored;
  connection->socket.cancel(ignored);
}

void ConnectionPool::complete(const ConnectionPtr& connection, AttemptResult result,
                              AfterAttempt after) {
  const AttemptKey key = connection->attempt;
  attempts_.erase(key);
  const auto endpoint = endpoints_.find(connection->server);
  const bool is_listed = endpoint && endpoint->up && endpoint->address == connection->address;
  if (after == AfterAttempt::kKeepConnection && is_listed) {
    connection->state = State::kIdle;
    connection->idle_since = clock_.now();
    connection->parser.reset();
    connection->received.clear();
    idle_.add(connection);
  } else {
    close(*connection);
  }
  events_.on_complete(key, std::move(result));
}

void ConnectionPool::fail(const ConnectionPtr& connection, Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  complete(connection, std::move(result), AfterAttempt::kCloseConnection);
}

void ConnectionPool::fail_later(AttemptKey key, Outcome outcome) {
  asio::post(io_, [this, key, outcome] {
    AttemptResult result;
    result.outcome = outcome;
    events_.on_complete(key, std::move(result));
  });
}

}  // namespace quota_gateway::net
