#include "net/client/client_session.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <span>
#include <string_view>
#include <utility>

#include "net/client/health_check.hpp"
#include "net/client/reset_after_delivery.hpp"
#include "net/client/socket_status.hpp"
#include "net/event_loop/exception_guard.hpp"
#include "net/http/framing.hpp"
#include "net/system_call/send_all.hpp"
#include "net/system_call/send_queue.hpp"
#include "net/system_call/socket_io.hpp"
#include "net/system_call/socket_options.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A session with no more unparsed bytes than this continues to read in any state.
constexpr std::size_t kMaxBufferedBytes = 4 << 10;
// Limit on unparsed bytes while a request awaits its response. It is higher because a session
// notices the end of its connection by reading all the input that its client has sent ahead. See
// also BufferLimits::max_total_read_ahead_bytes.
constexpr std::size_t kMaxBufferedBytesAwaitingResponse = 512 << 10;

// Size of the socket's send buffer for a streamed response. With megabytes in the kernel, a slow
// client would appear stuck until much of the data has been sent, and memory use would grow.
constexpr int kSendBufferBytes = 256 << 10;

// The least that a read of a body may take, so that a body slightly above the buffer limit does not
// end in a tiny piece.
constexpr std::size_t kMinBodyReadBytes = 8 << 10;

constexpr Micros kUnreadInputCheckInterval = 50'000;  // us

// Most of the memory that many clients fill is free again after this time.
constexpr Micros kLackOfMemoryRetryAfter = 1'000'000;  // us

// Responses for which no memory is needed.
constexpr std::string_view kRejectedWithoutMemory =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::string_view kFailedWithoutMemory =
    "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ClientSession::ClientSession(ClientSessionContext& context, ClientId client, tcp::socket socket)
    : context_(context),
      client_(client),
      socket_(std::move(socket)),
      reader_(context.settings, context.buffer_limits),
      activity_(context.clock.now()) {}

// ---- Reading

void ClientSession::read() {
  if (is_reading_ || is_in(SessionState::kClosed)) {
    return;
  }
  if (exceeds_read_ahead_limit()) {
    return watch_unread_input();
  }
  if (is_in(SessionState::kClosing)) {
    discard_input_until_closed(shared_from_this(), context_);
  } else {
    const bool has_input = wait_readable(socket_, [this, self = shared_from_this()](error_code ec) {
      run_step([this, ec] { on_readable(ec); });
    });
    if (!has_input) {
      last_without_input_ = context_.clock.now();
    }
  }
  is_reading_ = true;
}

bool ClientSession::resume() {
  const bool was_reading = is_reading_;
  read();
  return is_reading_ && !was_reading;
}

bool ClientSession::exceeds_read_ahead_limit() const {
  if (is_in(SessionState::kReading) || reader_.buffered_bytes() <= kMaxBufferedBytes) {
    return false;
  }
  return !is_in(SessionState::kAwaitingResponse) || reader_.is_body_incomplete() ||
         reader_.buffered_bytes() > kMaxBufferedBytesAwaitingResponse ||
         context_.memory.pressure() != MemoryPressure::kNone ||
         context_.owner.allocated_input_bytes() > context_.buffer_limits.max_total_read_ahead_bytes;
}

std::size_t ClientSession::read_limit() const {
  const bool reads_body =
      activity_.awaits_body_piece() || (is_in(SessionState::kReading) && reader_.has_valid_head());
  if (reads_body) {
    return std::min(context_.read_buffer.size(), std::max(reader_.body_space(), kMinBodyReadBytes));
  }
  const bool reads_ahead = reader_.buffered_bytes() > kMaxBufferedBytes;
  return reads_ahead ? context_.read_buffer.size() : kMaxBufferedBytes;
}

void ClientSession::on_readable(error_code ec) {
  is_reading_ = false;
  if (is_in(SessionState::kClosed)) {
    return;
  }
  std::size_t size = 0;
  if (!ec) {
    size = receive_some(socket_, std::span(context_.read_buffer).first(read_limit()), ec);
  }
  if (ec == asio::error::would_block) {
    return read();
  }
  if (ec) {
    return close(close_after_error(CloseReason::kReadFailed, ec));
  }
  is_handling_input_ = true;
  on_received(size);
  is_handling_input_ = false;
  read();
}

void ClientSession::on_received(std::size_t size) {
  activity_.on_bytes_received();
  body_arrival_.on_input_read();
  if (!has_memory_for_input()) {
    return reject_for_lack_of_memory();
  }
  on_input_after_end();
  if (!is_in(SessionState::kClosing)) {
    const Micros arrived_at =
        std::max(context_.event_loop_lag.earliest_arrival(), last_without_input_);
    reader_.append_input(context_.read_buffer.data(), size, arrived_at);
  }
  if (may_parse()) {
    parse_input();
  }
  if (activity_.awaits_body_piece()) {
    deliver_body_piece();
  } else {
    check_body_arrival();
    check_following_requests();
  }
  // While a system lacks memory for TCP, it holds the end of a connection back until the bytes
  // before it are acknowledged, and the client's leaving would be noticed late.
  if (is_in(SessionState::kAwaitingResponse)) {
    acknowledge_received(socket_);
  }
}

// The session stops reading if its client has sent too much ahead, so it can't notice by reading
// that the client has disconnected or has sent its last byte. It polls the socket instead:
// otherwise the request of a client that has disconnected would be forwarded, and a client whose
// server hangs would be answered too late.
void ClientSession::watch_unread_input() {
  if (!is_in(SessionState::kAwaitingResponse) || is_watching_input_) {
    return;
  }
  context_.timers.after(kUnreadInputCheckInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->run_step([&self] { self->check_unread_input(); });
    }
  });
  is_watching_input_ = true;
}

void ClientSession::check_unread_input() {
  is_watching_input_ = false;
  if (is_in(SessionState::kAwaitingResponse) && has_peer_closed(socket_)) {
    return close({CloseReason::kClientLeft});
  }
  check_body_arrival();
  read();
}

void ClientSession::check_body_arrival() {
  const bool awaits_rest = is_in(SessionState::kAwaitingResponse) && reader_.is_body_incomplete();
  if (awaits_rest && request_ && body_arrival_.notice(socket_, reader_, context_.read_buffer)) {
    context_.callbacks.on_body_arrived(*request_);
  }
}

// ---- Requests

bool ClientSession::may_parse() const {
  return is_in(SessionState::kIdle) || is_in(SessionState::kReading);
}

void ClientSession::parse_input() {
  activity_.on_input(context_.clock.now());
  while (may_parse() && reader_.has_input()) {
    if (!reader_.is_message_open()) {
      reader_.start_message();
      enter(SessionState::kReading);
    }
    RequestReader::Progress progress = RequestReader::Progress::kNeedsInput;
    const bool had_head = reader_.has_valid_head();
    try {
      progress = advance_message();
    } catch (const HttpError& e) {
      return reject(e.status(), e.what());
    }
    const bool is_ready = progress == RequestReader::Progress::kMessageReady;
    if ((is_ready || !had_head) && !has_memory_for_request(is_ready)) {
      reject_for_lack_of_memory();
      continue;
    }
    if (progress == RequestReader::Progress::kNeedsInput) {
      return;
    }
    if (progress == RequestReader::Progress::kMessageReady) {
      take_message();
    }
  }
}

RequestReader::Progress ClientSession::advance_message() {
  const RequestReader::Progress progress = reader_.advance();
  if (reader_.take_expects_continue()) {
    output_.set_interim(kContinueResponse);
    send_interim_response();
  }
  return progress;
}

// If the response begins before the interim one is sent, its bytes include the rest of that. An
// error is left to the next read.
void ClientSession::send_interim_response() {
  error_code ec;
  no_delay_.ensure_set(socket_);
  output_.on_interim_sent(send_some(socket_, output_.interim_rest(), ec));
  const bool may_continue = !ec || ec == asio::error::would_block;
  if (output_.interim_rest().empty() || !may_continue) {
    return;
  }
  wait_writable(socket_, [this, self = shared_from_this()](error_code wait_error) {
    if (!wait_error && !output_.interim_rest().empty()) {
      run_step([this] { send_interim_response(); });
    }
  });
}

void ClientSession::take_message() {
  activity_.on_request_received();
  if (reader_.is_health_check()) {
    respond_to_health_check();
  } else {
    deliver_request();
  }
}

void ClientSession::respond_to_health_check() {
  reader_.end_message();
  ServingState serving_state = ServingState::kServing;
  if (context_.draining) {
    serving_state = ServingState::kDraining;
  } else if (!context_.callbacks.is_serving()) {
    serving_state = ServingState::kStarting;
  }
  write_response(health_response(serving_state), use_after_response());
}

void ClientSession::deliver_request() {
  // The client may have sent this request ahead and left, with its end behind unread input.
  if (has_peer_closed(socket_)) {
    return close({CloseReason::kClientLeft});
  }
  ClientRequest request;
  try {
    request = reader_.take_request();
  } catch (const HttpError& e) {
    return reject(e.status(), e.what());
  }
  enter(SessionState::kAwaitingResponse);
  body_arrival_.start(!reader_.is_body_incomplete());
  request_ = context_.callbacks.on_request(client_, std::move(request));
  if (!request_) {
    return reject(http::status::conflict, "a request with this X-Trace-Id is in progress");
  }
  check_following_requests();
}

void ClientSession::check_following_requests() {
  const bool awaits_response = is_in(SessionState::kAwaitingResponse) && request_;
  if (!awaits_response || !reader_.has_input() || reader_.is_body_incomplete()) {
    return;
  }
  if (const auto end = reader_.earliest_end_of_following_requests()) {
    context_.callbacks.on_following_request_ends(*request_, *end);
  }
}

void ClientSession::request_body_piece() {
  if (!is_in(SessionState::kAwaitingResponse) || !reader_.is_body_incomplete()) {
    return;
  }
  activity_.on_body_piece_requested(context_.clock.now());
  asio::post(socket_.get_executor(), [this, self = shared_from_this()] {
    run_step([this] {
      if (activity_.awaits_body_piece()) {
        deliver_body_piece();
      }
      read();
    });
  });
}

void ClientSession::withdraw_body_piece_request() {
  activity_.on_body_piece_settled();
}

void ClientSession::deliver_body_piece() {
  activity_.on_input(context_.clock.now());
  std::optional<BodyPiece> piece;
  try {
    piece = reader_.take_body_piece();
  } catch (const HttpError&) {
    return close({CloseReason::kInvalidBody});
  }
  if (!piece) {
    return;
  }
  activity_.on_body_piece_settled();
  if (request_) {  // else the request was answered before its body was complete
    context_.callbacks.on_body_piece(*request_, piece->bytes, piece->is_last);
  }
}

// ---- Responses

// Requests that were read behind this one are answered before the connection is closed, unless the
// client has asked for the close.
ConnectionUse ClientSession::use_after_response() const {
  const bool is_ending = context_.draining || context_.handing_over;
  const bool closes = !reader_.keeps_alive() || (is_ending && !reader_.has_input());
  return closes ? ConnectionUse::kClose : ConnectionUse::kKeepAlive;
}

void ClientSession::respond(const ClientResponse& response) {
  if (!is_in(SessionState::kAwaitingResponse)) {
    return;
  }
  run_step([&] {
    // If the request's body is incomplete, the session does not wait for the rest: it closes the
    // connection after the response.
    const bool body_cut_off = reader_.is_body_incomplete();
    const ConnectionUse use = body_cut_off ? ConnectionUse::kClose : use_after_response();
    request_.reset();
    activity_.on_body_piece_settled();
    reader_.end_message();
    write_response(response, use);
  });
}

void ClientSession::reject(http::status status, const std::string& reason) {
  reader_.end_message();
  activity_.on_body_piece_settled();
  ClientResponse response;
  response.status = int(status);
  response.body = reason + "\n";
  write_response(response, ConnectionUse::kClose);
}

bool ClientSession::has_memory_for_request(bool is_ready) {
  if (!reader_.has_valid_head()) {
    return true;
  }
  if (reader_.awaits_long_body()) {
    return context_.memory.admits(RequestLength::kLong);
  }
  return !is_ready || context_.memory.admits(RequestLength::kShort);
}

bool ClientSession::has_memory_for_input() {
  return !is_in(SessionState::kReading) || reader_.allocated_bytes() <= kMaxBufferedBytes ||
         context_.memory.pressure() != MemoryPressure::kCritical;
}

// Nothing of the request was forwarded, so the client may repeat it. The connection is kept unless
// a part of the request is still to come.
void ClientSession::reject_for_lack_of_memory() {
  const bool is_complete = reader_.is_message_complete();
  activity_.on_request_received();
  reader_.end_message();
  ClientResponse response;
  response.status = int(http::status::service_unavailable);
  response.retry_after = kLackOfMemoryRetryAfter;
  write_response(response, is_complete ? use_after_response() : ConnectionUse::kClose);
}

void ClientSession::write_response(const ClientResponse& response, ConnectionUse connection_use) {
  output_.set_response(response, connection_use);
  enter(SessionState::kWriting);
  write_output(&ClientSession::on_response_written);
}

void ClientSession::begin_response(std::optional<std::uint64_t> content_length,
                                   const std::string& piece) {
  if (!is_in(SessionState::kAwaitingResponse)) {
    return;
  }
  run_step([&] { begin_stream(content_length, piece); });
}

void ClientSession::begin_stream(std::optional<std::uint64_t> content_length,
                                 const std::string& piece) {
  const BodyDelimiter delimiter = choose_body_delimiter(content_length, reader_.version());
  const bool closes = delimiter == BodyDelimiter::kConnectionClose;
  const ConnectionUse use = closes ? ConnectionUse::kClose : use_after_response();
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  output_.begin_stream(content_length, delimiter, use, piece);
  write_piece();
}

void ClientSession::send_body_piece(std::string piece) {
  if (!output_.is_streaming() || !is_in(SessionState::kWriting)) {
    return;
  }
  run_step([&] {
    output_.set_piece(std::move(piece));
    write_piece();
  });
}

void ClientSession::finish_response() {
  if (!output_.is_streaming() || !is_in(SessionState::kWriting)) {
    return;
  }
  request_.reset();
  run_step([this] {
    output_.end_stream();
    write_output(&ClientSession::on_response_written);
  });
}

// A piece that is being written is written first.
void ClientSession::abort_response() {
  if (!output_.is_streaming()) {
    return;
  }
  request_.reset();
  output_.abort_stream();
  if (activity_.awaits_response_piece()) {
    run_step([this] { reset_aborted(); });
  }
}

// After an orderly close, a body that is delimited by the end of the connection would look
// complete.
void ClientSession::reset_aborted() {
  enter(SessionState::kAborting);
  ConnectionToReset connection{socket_, [self = shared_from_this()] { return self->is_aborting(); },
                               [this] { close({CloseReason::kResponseAborted}); }};
  reset_after_delivery(std::move(connection), context_.timers, context_.clock,
                       context_.clock.now() + kMaxDeliveryTime);
}

void ClientSession::write_piece() {
  enter(SessionState::kWriting);
  write_output(&ClientSession::on_piece_written);
}

void ClientSession::write_output(void (ClientSession::*on_written)()) {
  activity_.on_write_started();
  no_delay_.ensure_set(socket_);
  send_all(
      socket_, output_.bytes(), [this] { return is_in(SessionState::kWriting); },
      [this, on_written, self = shared_from_this()](error_code ec, std::size_t /*sent*/) {
        run_step([this, on_written, ec] { on_output_written(on_written, ec); });
      });
}

void ClientSession::on_output_written(void (ClientSession::*on_written)(), error_code ec) {
  if (ec) {
    return close(close_after_error(CloseReason::kWriteFailed, ec));
  }
  output_.release_memory();
  (this->*on_written)();
}

void ClientSession::on_piece_written() {
  if (!output_.is_streaming()) {
    return reset_aborted();
  }
  activity_.on_piece_written();
  context_.callbacks.on_piece_sent(*request_);
}

void ClientSession::on_response_written() {
  if (output_.connection_use() == ConnectionUse::kClose) {
    close_after_last_response();
  } else {
    await_next_request();
  }
  read();
}

void ClientSession::await_next_request() {
  enter(SessionState::kIdle);
  parse_input();
  if (context_.draining) {
    close_if_idle();
  }
  context_.owner.on_session_idle();
}

// ---- Closing

template <typename Step>
void ClientSession::run_step(const Step& step) {
  if (!run_and_log_exceptions("client session", step)) {
    run_and_log_exceptions("client session", [this] { end_after_exception(); });
  }
}

// What the step was to do next is known to nobody else, so the client gets an error. A response
// that has begun can't be followed by one: its connection is reset.
void ClientSession::end_after_exception() {
  const bool has_lost_input = std::exchange(is_handling_input_, false);
  const bool is_untouched = is_in(SessionState::kIdle) && !reader_.has_input() && !has_lost_input;
  if (is_in(SessionState::kClosed) || is_in(SessionState::kClosing) || is_untouched) {
    return;  // resume() or a time limit takes it up
  }
  if (is_in(SessionState::kWriting) || is_in(SessionState::kAborting)) {
    set_reset_on_close(socket_);
    return close({CloseReason::kInterrupted});
  }
  answer_without_memory();
}

// A request that was passed on may have run; one that was not may be repeated.
void ClientSession::answer_without_memory() {
  const auto request = std::exchange(request_, std::nullopt);
  const bool may_have_run = is_in(SessionState::kAwaitingResponse);
  error_code ignored;
  send_some(socket_, may_have_run ? kFailedWithoutMemory : kRejectedWithoutMemory, ignored);
  close_after_last_response();
  if (request) {
    context_.callbacks.on_client_disconnected(*request);
  }
}

void ClientSession::close_after_last_response() {
  send_end_of_stream(socket_);
  reader_.discard_input();
  enter(SessionState::kClosing);
}

void ClientSession::on_input_discarded() {
  on_input_after_end();
  activity_.on_input(context_.clock.now());
}

void ClientSession::on_client_finished() {
  close({CloseReason::kFinished});
}

bool ClientSession::check_connected() {
  if (is_in(SessionState::kClosed)) {
    return false;
  }
  if (!has_peer_closed(socket_)) {
    return true;
  }
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->close({CloseReason::kClientLeft}); });
  return false;
}

void ClientSession::close_if_idle() {
  if (is_idle_between_requests() && !has_unread_input(socket_)) {
    run_step([this] { end_idle(); });
  }
}

// Nothing of a request that crosses this response is forwarded, so its client may repeat it.
void ClientSession::end_idle() {
  ClientResponse response;
  response.status = int(http::status::service_unavailable);
  was_ended_idle_ = true;
  write_response(response, ConnectionUse::kClose);
}

void ClientSession::on_input_after_end() {
  if (std::exchange(was_ended_idle_, false)) {
    context_.crossed_ends.on_crossed(context_.clock.now());
  }
}

void ClientSession::evict() {
  if (may_parse()) {
    error_code ignored;
    send_some(socket_, kRejectedWithoutMemory, ignored);
  }
  close({CloseReason::kIdle});
}

void ClientSession::close(const SessionClose& cause) {
  if (is_in(SessionState::kClosed)) {
    return;
  }
  enter(SessionState::kClosed);
  if (output_.is_incomplete()) {
    set_reset_on_close(socket_);
  }
  context_.dropped_input_segments += dropped_segments(socket_);
  error_code ignored;
  socket_.close(ignored);
  if (request_) {
    context_.unanswered_requests.on_closed(*request_, cause, context_.clock.now());
    context_.callbacks.on_closed_unanswered(*request_, cause);
    context_.callbacks.on_client_disconnected(*request_);
  }
  context_.owner.on_session_closed(client_);
}

// ---- Limits

// Includes kClosing, where the last response has been written but the client has not closed its
// side: if the process ended, input that arrives later would reset the connection, and the client
// could lose the response.
bool ClientSession::has_unfinished_work(Micros now) const {
  if (!is_in(SessionState::kIdle)) {
    return !is_in(SessionState::kClosed);
  }
  return activity_.may_send_first_request(now) || has_unread_input(socket_);
}

// A session with unread input is not evicted, because the input may complete a request. Neither is
// one whose client has not received all of a response: input that is unread then, or arrives after
// the close, resets the connection, and the rest of the response is discarded.
EvictionRank ClientSession::eviction_rank() {
  const EvictionRank rank = activity_.eviction_rank();
  if (rank == EvictionRank::kNever || unacknowledged_bytes(socket_) > 0) {
    return EvictionRank::kNever;
  }
  if (rank == EvictionRank::kAfterResponse) {
    return rank;
  }
  return has_unread_input(socket_) ? EvictionRank::kNever : rank;
}

void ClientSession::enforce_timeouts(Micros now) {
  const RequestPart part = reader_.has_valid_head() ? RequestPart::kBody : RequestPart::kHead;
  switch (activity_.timeout_action(now, part)) {
    case TimeoutAction::kRejectRequest:
      return reject(http::status::request_timeout, "the request was not received in time");
    case TimeoutAction::kClose:
      return close({CloseReason::kTimedOut});
    case TimeoutAction::kCloseUnlessInputArrived:
      if (!has_unread_input(socket_)) {
        run_step([this] { end_idle(); });
      }
      return;
    case TimeoutAction::kNone:
      return;
  }
}

}  // namespace quota_gateway::net
