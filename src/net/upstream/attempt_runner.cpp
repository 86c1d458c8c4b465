#include "net/upstream/attempt_runner.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

#include "net/event_loop/exception_guard.hpp"
#include "net/system_call/send_queue.hpp"
#include "net/system_call/socket_io.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

}  // namespace

AttemptRunner::AttemptRunner(asio::io_context& io, Timers& timers, const Clock& clock,
                             BufferLimits buffer_limits, AttemptEvents attempt_events,
                             ConnectionEvents connection_events)
    : io_(io),
      timers_(timers),
      clock_(clock),
      attempt_events_(std::move(attempt_events)),
      connection_events_(std::move(connection_events)),
      reader_(io, timers, clock, buffer_limits, attempt_events_, response_events()) {}

ResponseEvents AttemptRunner::response_events() {
  ResponseEvents events;
  events.on_complete = [this](const ConnectionPtr& connection, AttemptResult result,
                              ConnectionCondition condition) {
    complete(connection, std::move(result), condition);
  };
  events.on_failed = [this](const ConnectionPtr& connection, Outcome outcome) {
    fail(connection, outcome);
  };
  events.on_broken = [this](const ConnectionPtr& connection) { on_broken(connection); };
  events.on_unsolicited_bytes = [this](const ConnectionPtr& connection) {
    complete_without_response(connection, Outcome::kConnectFailed,
                              ConnectionCondition::kUnsolicitedBytes);
  };
  events.on_idle_readable = [this](const ConnectionPtr& connection) {
    connection_events_.on_idle_readable(connection);
  };
  return events;
}

void AttemptRunner::assign(AttemptKey key, const ConnectionPtr& connection,
                           const ForwardedRequest& request, AttemptTimes times) {
  connection->attempt = key;
  connection->request = &request;
  connection->times = times;
  attempts_.emplace(key, connection);
  if (times.write_before) {
    watch_write_limit(connection);
  }
}

// The time of a connect can exceed what was left when the attempt was decided on.
bool AttemptRunner::may_start(const UpstreamConnection& connection) const {
  const Micros now = clock_.now();
  return now < connection.times.deadline && now < connection.times.write_before.value_or(now + 1);
}

// Ends the attempt if its last byte is not written in time. The server has not run the request
// then: it begins a request after its last byte.
void AttemptRunner::watch_write_limit(const ConnectionPtr& connection) {
  const AttemptKey key = connection->attempt;
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(*connection->times.write_before, [this, key, weak] {
    const ConnectionPtr connection = weak.lock();
    if (!connection || connection->attempt != key) {
      return;
    }
    if (connection->state == State::kConnecting) {
      fail(connection, Outcome::kNotSent);
    } else if (connection->state == State::kWriting) {
      connection->reset_on_close();
      fail(connection, Outcome::kConnectFailed);
    }
  });
}

void AttemptRunner::start(const ConnectionPtr& connection) {
  if (!may_start(*connection) || !attempt_events_.may_begin(connection->attempt)) {
    return fail_unwritten(connection, Outcome::kNotSent);
  }
  connection->encode_request(*connection->request, connection->times.deadline - clock_.now());
  connection->state = State::kWriting;
  connection->begin_response();
  if (!begin_write(connection)) {
    return;
  }
  if (connection->body_incomplete) {
    watch_body_write(connection);
  }
  reader_.read(connection);
}

void AttemptRunner::send_body_piece(AttemptKey key, const std::string& piece, bool is_last) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end()) {
    return;
  }
  const ConnectionPtr connection = entry->second;
  if (!connection->awaits_body_piece) {
    // `output` may hold bytes that are not written yet. The piece cannot follow them, and without
    // it the body would have a gap.
    return fail_unwritten(connection, Outcome::kConnectFailed);
  }
  connection->awaits_body_piece = false;
  connection->encode_body_piece(piece, is_last);
  begin_write(connection);
}

void AttemptRunner::resume(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end() || entry->second->delivery != Delivery::kPieceOutstanding) {
    return;
  }
  reader_.resume(entry->second);
}

bool AttemptRunner::deliver_started(AttemptKey key) {
  const auto entry = attempts_.find(key);
  return entry != attempts_.end() && reader_.deliver_started(entry->second);
}

bool AttemptRunner::abandon(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end()) {
    return false;
  }
  const ConnectionPtr connection = entry->second;
  const bool was_written = connection->state == State::kWaiting;
  attempts_.erase(entry);
  connection->reset_on_close();
  connection_events_.on_released(connection, ConnectionCondition::kBroken);
  return was_written;
}

bool AttemptRunner::abandon_unwritten(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end() || entry->second->state == State::kWaiting) {
    return false;
  }
  abandon(key);
  return true;
}

bool AttemptRunner::abandon_undelivered(AttemptKey key) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end()) {
    return false;
  }
  UpstreamConnection& connection = *entry->second;
  const bool is_undelivered = connection.state == State::kWaiting &&
                              !connection.has_response_bytes() &&
                              awaits_acknowledgement_only(connection.socket);
  if (is_undelivered) {
    abandon(key);
  }
  return is_undelivered;
}

bool AttemptRunner::is_being_written(AttemptKey key) const {
  const auto entry = attempts_.find(key);
  return entry != attempts_.end() && entry->second->state == State::kWriting;
}

void AttemptRunner::distrust(const std::string& server) {
  for (const auto& [key, connection] : attempts_) {
    connection->is_distrusted = connection->is_distrusted || connection->server == server;
  }
}

AttemptRunner::Counts AttemptRunner::counts() const {
  Counts counts;
  for (const auto& [key, connection] : attempts_) {
    switch (connection->state) {
      case State::kConnecting:
        ++counts.connecting;
        break;
      case State::kWriting:
        ++counts.writing;
        break;
      case State::kWaiting:
        ++counts.waiting;
        break;
      case State::kIdle:
      case State::kClosed:
        break;  // such a connection has no attempt
    }
  }
  return counts;
}

// The number of written bytes is known at any time, and so whether the last one was written: a
// server may run a request from its last byte on.
AttemptRunner::WriteResult AttemptRunner::write_output(const ConnectionPtr& connection) {
  error_code ec;
  const auto remaining = std::string_view(connection->output).substr(connection->output_written);
  connection->no_delay.ensure_set(connection->socket);
  const std::size_t written = send_some(connection->socket, remaining, ec);
  connection->output_written += written;
  if (written > 0) {
    connection->last_write_at = clock_.now();
  }
  if (connection->output_written == connection->output.size()) {
    return WriteResult::kComplete;
  }
  return ec && ec != asio::error::would_block ? WriteResult::kFailed : WriteResult::kIncomplete;
}

bool AttemptRunner::begin_write(const ConnectionPtr& connection) {
  connection->output_written = 0;
  connection->last_write_at = clock_.now();
  switch (write_output(connection)) {
    case WriteResult::kComplete:
      on_output_written(connection);
      return true;
    case WriteResult::kIncomplete:
      await_writable(connection);
      return true;
    case WriteResult::kFailed:
      break;
  }
  fail_unwritten(connection, Outcome::kConnectFailed);
  return false;
}

void AttemptRunner::await_writable(const ConnectionPtr& connection) {
  wait_writable(connection->socket, [this, connection, key = connection->attempt](error_code) {
    if (connection->state != State::kWriting || connection->attempt != key) {
      return;
    }
    if (!run_and_log_exceptions("attempt", [&] { on_writable(connection); })) {
      on_broken(connection);
    }
  });
}

void AttemptRunner::on_writable(const ConnectionPtr& connection) {
  switch (write_output(connection)) {
    case WriteResult::kComplete:
      return on_output_written(connection);
    case WriteResult::kIncomplete:
      return await_writable(connection);
    case WriteResult::kFailed:
      return fail(connection, Outcome::kConnectFailed);
  }
}

// How long the server may take none of a long body. Once the body is complete, the deadline of the
// request ends the attempt earlier, unless the settings forbid to cancel attempts.
Micros AttemptRunner::write_stall_limit(const UpstreamConnection& connection) {
  return connection.body_incomplete ? connection.times.max_write_stall : kStreamStallTimeout;
}

// Fails the attempt if the server takes none of a long body for the permitted time. Runs until the
// body is written; while the client has yet to send the next piece, no time counts.
void AttemptRunner::watch_body_write(const ConnectionPtr& connection) {
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(
      connection->last_write_at + write_stall_limit(*connection),
      [this, weak, key = connection->attempt] {
        const ConnectionPtr connection = weak.lock();
        if (connection && connection->state == State::kWriting && connection->attempt == key) {
          check_body_write(connection);
        }
      });
}

void AttemptRunner::check_body_write(const ConnectionPtr& connection) {
  const Micros now = clock_.now();
  if (connection->output.empty()) {
    connection->last_write_at = now;
  }
  if (now - connection->last_write_at < write_stall_limit(*connection)) {
    return watch_body_write(connection);
  }
  connection->reset_on_close();
  fail(connection, Outcome::kConnectFailed);
}

void AttemptRunner::on_output_written(const ConnectionPtr& connection) {
  std::string().swap(connection->output);  // frees its memory
  if (!connection->body_incomplete) {
    connection->state = State::kWaiting;
    attempt_events_.on_request_written(connection->attempt);
    return;
  }
  request_body_piece(connection);
}

void AttemptRunner::request_body_piece(const ConnectionPtr& connection) {
  connection->awaits_body_piece = true;
  asio::post(io_, [this, connection, key = connection->attempt] {
    if (connection->state == State::kWriting && connection->attempt == key) {
      attempt_events_.on_body_piece_needed(key);
    }
  });
}

void AttemptRunner::on_broken(const ConnectionPtr& connection) {
  if (connection->state != State::kWriting) {
    const auto condition = connection->has_response_bytes()
                               ? ConnectionCondition::kBroken
                               : ConnectionCondition::kBrokenBeforeResponse;
    return complete_without_response(connection, Outcome::kReset, condition);
  }
  fail(connection, Outcome::kConnectFailed);
}

void AttemptRunner::fail(const ConnectionPtr& connection, Outcome outcome) {
  complete_without_response(connection, outcome, ConnectionCondition::kBroken);
}

void AttemptRunner::fail_unwritten(const ConnectionPtr& connection, Outcome outcome) {
  const AttemptKey key = connection->attempt;
  attempts_.erase(key);
  connection_events_.on_released(connection, ConnectionCondition::kBroken);
  fail_unassigned(key, outcome);
}

void AttemptRunner::fail_unassigned(AttemptKey key, Outcome outcome) {
  asio::post(io_, [this, key, outcome] {
    AttemptResult result;
    result.outcome = outcome;
    attempt_events_.on_complete(key, std::move(result));
  });
}

void AttemptRunner::complete_without_response(const ConnectionPtr& connection, Outcome outcome,
                                              ConnectionCondition condition) {
  AttemptResult result;
  result.outcome = outcome;
  result.fault = connection->fault;
  complete(connection, std::move(result), condition);
}

void AttemptRunner::complete(const ConnectionPtr& connection, AttemptResult result,
                             ConnectionCondition condition) {
  const AttemptKey key = connection->attempt;
  attempts_.erase(key);
  connection_events_.on_released(connection, condition);
  attempt_events_.on_complete(key, std::move(result));
}

}  // namespace quota_gateway::net
