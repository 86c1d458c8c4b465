#include "net/upstream/response_reader.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <span>
#include <utility>

#include "net/event_loop/exception_guard.hpp"
#include "net/http/framing.hpp"
#include "net/system_call/socket_io.hpp"
#include "net/system_call/socket_wait.hpp"
#include "net/upstream/response_classifier.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Maximum number of interim (1xx) responses before the final response.
constexpr int kMaxInterimResponses = 16;
// If no byte of a started response arrives for this time, the response is considered stalled rather
// than slow.
constexpr Micros kResponseStallTimeout = 250'000;  // us
// A response of unknown length is buffered for this time. Then it may be a long one that arrives
// slowly, and its beginning is delivered.
constexpr Micros kMaxBufferingTime = 100'000;  // us
// A body that has begun and is slower than this does not become a long response in any useful time.
constexpr double kMinBytesPerSecond = 1'000;
constexpr double kMicrosPerSecond = 1e6;

ConnectionCondition condition_after_response(const UpstreamConnection& connection) {
  if (connection.has_trailing_bytes()) {
    return ConnectionCondition::kUnsolicitedBytes;
  }
  return connection.is_reusable() ? ConnectionCondition::kReusable
                                  : ConnectionCondition::kNotReusable;
}

// Whether the response is most likely a second copy of the one before it on the connection, and so
// not the response to its request.
bool is_likely_copy(const UpstreamConnection& connection) {
  return (connection.is_distrusted && connection.repeats_response()) ||
         (connection.suspects_same_body && connection.repeats_body());
}

bool is_streaming(const UpstreamConnection& connection) {
  return connection.delivery != UpstreamConnection::Delivery::kBuffered;
}

Micros stall_timeout(const UpstreamConnection& connection) {
  return is_streaming(connection) ? kStreamStallTimeout : kResponseStallTimeout;
}

// Returns whether the response has begun and may be a long one that arrives slowly: its length is
// unknown, and its body has not begun or arrives at a useful rate.
bool may_be_long(const UpstreamConnection& connection, Micros now) {
  if (!connection.is_length_unknown()) {
    return false;
  }
  const auto body_bytes = double(connection.parser->get().body().size());
  const double seconds = double(now - connection.first_byte_at) / kMicrosPerSecond;
  return body_bytes == 0 || body_bytes >= kMinBytesPerSecond * seconds;
}

}  // namespace

ResponseReader::ResponseReader(asio::io_context& io, Timers& timers, const Clock& clock,
                               BufferLimits buffer_limits, const AttemptEvents& attempt_events,
                               ResponseEvents response_events)
    : io_(io),
      timers_(timers),
      clock_(clock),
      buffer_limits_(buffer_limits),
      attempt_events_(attempt_events),
      response_events_(std::move(response_events)) {}

bool ResponseReader::is_long(UpstreamConnection::ResponseParser& parser) const {
  const std::uint64_t received_size = parser.get().body().size();
  const std::uint64_t stated_size = parser.content_length().value_or(0);
  return std::max(received_size, stated_size) > buffer_limits_.max_body_bytes;
}

std::size_t ResponseReader::read_limit() const {
  return std::min(read_buffer_.size(), buffer_limits_.max_body_bytes);
}

void ResponseReader::read(const ConnectionPtr& connection) {
  if (connection->read_pending) {
    return;
  }
  wait_readable(connection->socket, [this, connection](error_code ec) {
    connection->read_pending = false;
    const bool is_done = run_and_log_exceptions("attempt", [&] { on_readable(connection, ec); });
    if (!is_done) {
      fail_after_exception(connection);
    }
  });
  connection->read_pending = true;
}

void ResponseReader::fail(const ConnectionPtr& connection, Outcome outcome,
                          ResponseFault fault) const {
  connection->fault = fault;
  response_events_.on_failed(connection, outcome);
}

void ResponseReader::fail_broken(const ConnectionPtr& connection, ResponseFault fault) const {
  connection->fault = fault;
  response_events_.on_broken(connection);
}

// Bytes of the response may be lost, so the connection has no further use.
void ResponseReader::fail_after_exception(const ConnectionPtr& connection) const {
  if (connection->state == State::kWriting || connection->state == State::kWaiting) {
    fail_broken(connection, ResponseFault::kInterrupted);
  } else if (connection->state == State::kIdle) {
    response_events_.on_idle_readable(connection);
  }
}

void ResponseReader::resume(const ConnectionPtr& connection) {
  connection->delivery = Delivery::kStreaming;
  connection->last_progress_at = clock_.now();
  if (!connection->response_complete) {
    return read(connection);
  }
  asio::post(io_, [this, connection, key = connection->attempt] {
    if (connection->state == State::kWaiting && connection->attempt == key) {
      complete(connection);
    }
  });
}

bool ResponseReader::deliver_started(const ConnectionPtr& connection) {
  if (connection->state != State::kWaiting || !connection->has_response_bytes() ||
      connection->delivery != Delivery::kBuffered || !connection->is_final_head_done() ||
      connection->outcome() != Outcome::kOk || !may_be_long(*connection, clock_.now())) {
    return false;
  }
  asio::post(io_, [this, connection, key = connection->attempt] {
    if (connection->state == State::kWaiting && connection->attempt == key &&
        connection->delivery == Delivery::kBuffered) {
      deliver_beginning(connection);
    }
  });
  return true;
}

void ResponseReader::on_readable(const ConnectionPtr& connection, error_code error) {
  if (connection->state == State::kClosed) {
    return;
  }
  if (connection->state == State::kIdle) {
    return on_idle_readable(connection, error);
  }
  std::size_t size = 0;
  if (!error) {
    size = receive_some(connection->socket, std::span(read_buffer_).first(read_limit()), error);
  }
  if (error == asio::error::would_block) {
    return read(connection);
  }
  if (error) {
    return on_disconnected(connection, error);
  }
  on_received(connection, size);
  if (connection->state != State::kClosed && connection->delivery != Delivery::kPieceOutstanding) {
    read(connection);
  }
}

// The event loop may report the bytes of the response once more after they were read.
void ResponseReader::on_idle_readable(const ConnectionPtr& connection, error_code error) {
  if (!error && connection->is_open_without_unread_data()) {
    return read(connection);
  }
  response_events_.on_idle_readable(connection);
}

// A body without a stated length ends with its connection. A reset is no end: the server may have
// had more to send.
void ResponseReader::on_disconnected(const ConnectionPtr& connection, error_code error) {
  if (error != asio::error::eof || connection->state != State::kWaiting) {
    return fail_broken(
        connection, error == asio::error::eof ? ResponseFault::kEndedEarly : ResponseFault::kReset);
  }
  try {
    if (connection->end_of_stream()) {
      return on_response_complete(connection);
    }
  } catch (const std::exception&) {
    return fail(connection, Outcome::kReset, ResponseFault::kInvalid);
  }
  fail_broken(connection, ResponseFault::kEndedEarly);
}

void ResponseReader::on_received(const ConnectionPtr& connection, std::size_t size) {
  // Bytes that arrive before the request is completely written cannot be a valid response to it.
  // The exception is a request with more body pieces to come: the server may respond without them.
  if (connection->state == State::kWriting && !connection->body_incomplete) {
    return response_events_.on_unsolicited_bytes(connection);
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
    fail(connection, connection->body_incomplete ? Outcome::kConnectFailed : Outcome::kReset,
         ResponseFault::kInvalid);
  }
}

void ResponseReader::process_received(const ConnectionPtr& connection, bool is_first_part) {
  while (connection->parse_received()) {
    if (connection->is_final_head_done()) {
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
    watch_progress(connection);
    limit_buffering(connection);
  }
  if (!connection->body_incomplete) {
    deliver_part(connection);
  } else if (connection->is_final_head_done() && is_long(*connection->parser)) {
    on_early_response(connection);
  }
}

// A server begins to run a request after its last byte, so it has not run this one. Nothing of its
// response can be delivered, and a long one must not be kept until the request is complete.
void ResponseReader::on_early_response(const ConnectionPtr& connection) const {
  const bool is_overloaded = connection->outcome() == Outcome::kOverloaded;
  fail(connection, is_overloaded ? Outcome::kOverloaded : Outcome::kConnectFailed,
       ResponseFault::kEarly);
}

// Schedules a check that fails the attempt if the response stalls. A response with a stated length
// that is too large never completes; if the attempt waited for it until the request's deadline, no
// time would be left for another attempt. A response that is merely slow keeps arriving and passes
// the check.
void ResponseReader::watch_progress(const ConnectionPtr& connection) {
  const AttemptKey key = connection->attempt;
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(connection->last_progress_at + stall_timeout(*connection), [this, key, weak] {
    const ConnectionPtr connection = weak.lock();
    if (connection && connection->state == State::kWaiting && connection->attempt == key) {
      check_progress(connection);
    }
  });
}

void ResponseReader::limit_buffering(const ConnectionPtr& connection) {
  const std::weak_ptr<UpstreamConnection> weak = connection;
  timers_.at(connection->first_byte_at + kMaxBufferingTime,
             [this, weak, key = connection->attempt] {
               const ConnectionPtr connection = weak.lock();
               if (connection && connection->state == State::kWaiting &&
                   connection->attempt == key && connection->delivery == Delivery::kBuffered) {
                 deliver_part(connection);
               }
             });
}

void ResponseReader::check_progress(const ConnectionPtr& connection) {
  if (!connection->has_response_bytes()) {
    return;
  }
  if (connection->delivery == Delivery::kPieceOutstanding) {
    connection->last_progress_at = clock_.now();  // waiting for the client, not for the server
  }
  if (clock_.now() - connection->last_progress_at < stall_timeout(*connection)) {
    return watch_progress(connection);
  }
  fail(connection, Outcome::kReset, ResponseFault::kStalled);
}

bool ResponseReader::deliver_part(const ConnectionPtr& connection) {
  auto& parser = *connection->parser;
  if (!connection->is_final_head_done()) {
    return false;
  }
  if (is_streaming(*connection)) {
    if (parser.get().body().empty()) {
      return false;
    }
    deliver_piece(connection);
    return true;
  }
  const Micros now = clock_.now();
  const bool is_slow = now - connection->first_byte_at >= kMaxBufferingTime;
  const bool is_error = connection->outcome() != Outcome::kOk;
  if (is_long(parser) || (is_slow && may_be_long(*connection, now)) ||
      (is_error && parser.need_eof())) {
    deliver_beginning(connection);
    return true;
  }
  return false;
}

void ResponseReader::deliver_beginning(const ConnectionPtr& connection) {
  AttemptResult result = connection->take_result();
  if (result.outcome != Outcome::kOk) {  // the body of an error is not used
    return response_events_.on_complete(connection, std::move(result),
                                        ConnectionCondition::kBroken);
  }
  std::optional<std::uint64_t> stated_length;
  if (const auto length = connection->parser->content_length()) {
    stated_length = *length;
  }
  connection->delivery = Delivery::kPieceOutstanding;
  attempt_events_.on_response_started(connection->attempt, std::move(result), stated_length);
}

void ResponseReader::deliver_piece(const ConnectionPtr& connection) {
  connection->delivery = Delivery::kPieceOutstanding;
  attempt_events_.on_response_piece(connection->attempt,
                                    std::exchange(connection->parser->get().body(), {}));
}

void ResponseReader::on_response_complete(const ConnectionPtr& connection) {
  if (connection->body_incomplete) {
    return on_early_response(connection);
  }
  receive_trailing_bytes(connection);
  // The client has a part of a streamed response, so that no other attempt can follow: its stated
  // length decides.
  if (!is_streaming(*connection) && connection->may_be_truncated()) {
    return fail(connection, Outcome::kReset, ResponseFault::kFollowedByData);
  }
  if (is_likely_copy(*connection)) {
    return fail(connection, Outcome::kReset, ResponseFault::kRepeated);
  }
  connection->response_complete = true;
  if (!is_streaming(*connection) || !deliver_part(connection)) {
    complete(connection);
  }
}

// Receives bytes that have arrived after a complete response. They show whether the response's
// stated length was too small.
void ResponseReader::receive_trailing_bytes(const ConnectionPtr& connection) {
  error_code ec;
  if (connection->received.empty() && connection->socket.available(ec) > 0) {
    const std::size_t size = receive_some(connection->socket, read_buffer_, ec);
    connection->received.append(read_buffer_.data(), size);
  }
}

void ResponseReader::complete(const ConnectionPtr& connection) const {
  response_events_.on_complete(connection, connection->take_result(),
                               condition_after_response(*connection));
}

}  // namespace quota_gateway::net
