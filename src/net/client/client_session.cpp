#include "net/client/client_session.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "net/http/framing.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Unparsed bytes that a session may hold at any time, and memory that it keeps when it has none.
constexpr std::size_t kMaxBufferedBytes = 4 << 10;
// The same while its request awaits the response, for one session and for all together. Without
// this, the end of a connection would stay unnoticed behind what its client sent ahead.
constexpr std::size_t kMaxBufferedBytesAwaiting = 512 << 10;
constexpr std::size_t kMaxBufferedBytesOfAll = 4 << 20;

// From connecting, or from a head's first byte, to the end of the head.
constexpr Micros kHeadTimeout = 2'600'000;
// Without a byte of a body: its client is stuck, not slow.
constexpr Micros kBodyTimeout = 2'000'000;
// From connecting to the first byte, after which shutdown no longer waits for one.
constexpr Micros kFirstByteTimeout = 1'000'000;
// Between requests; some clients never come back, and none announces it.
constexpr Micros kIdleTimeout = 4'000'000;
// For a client to accept a response, or one piece of it.
constexpr Micros kWriteTimeout = 10'000'000;

// Bytes of a streamed response in the kernel. With megabytes there, slow clients would seem stuck
// until much of it is sent, and all of it is memory.
constexpr int kSendBufferBytes = 256 << 10;

// For a client to read a response before the close, or between two bytes that are discarded.
constexpr Micros kLingerTimeout = 1'000'000;
constexpr Micros kMaxLingerTime = 5'000'000;
constexpr Micros kDiscardInterval = 10'000;
constexpr std::size_t kMaxDiscardBytes = 4 << 20;  // in each interval
constexpr Micros kDisconnectCheckInterval = 50'000;

}  // namespace

ClientSession::ClientSession(ClientSessionContext& context, ClientId client, tcp::socket socket)
    : context_(context),
      client_(client),
      socket_(std::move(socket)),
      reader_(context.settings),
      connected_at_(context.clock.now()),
      state_since_(connected_at_) {}

void ClientSession::enter(State state) {
  state_ = state;
  state_since_ = context_.clock.now();
}

bool ClientSession::closes_after_response() const {
  return context_.draining || context_.handing_over || !reader_.keeps_alive();
}

bool ClientSession::has_unread_input() const {
  error_code ignored;
  return socket_.available(ignored) > 0;
}

// ---- Requests

void ClientSession::read() {
  if (is_reading_ || state_ == State::kClosed) {
    return;
  }
  if (is_too_far_ahead()) {
    return watch_for_disconnect();
  }
  if (state_ == State::kClosing) {
    return discard_input();
  }
  is_reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [this, self = shared_from_this()](error_code ec) { on_readable(ec); });
}

bool ClientSession::is_too_far_ahead() const {
  if (state_ == State::kReading || reader_.buffered_bytes() <= kMaxBufferedBytes) {
    return false;
  }
  return state_ != State::kAwaitingResponse || reader_.is_body_incomplete() ||
         reader_.buffered_bytes() > kMaxBufferedBytesAwaiting ||
         context_.owner.buffered_bytes() > kMaxBufferedBytesOfAll;
}

std::size_t ClientSession::read_limit() const {
  const bool reads_body =
      body_piece_requested_ || (state_ == State::kReading && reader_.has_valid_head());
  return reads_body || reader_.buffered_bytes() > kMaxBufferedBytes ? context_.read_buffer.size()
                                                                    : kMaxBufferedBytes;
}

void ClientSession::on_readable(error_code ec) {
  is_reading_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  std::size_t size = 0;
  if (!ec) {
    size = socket_.read_some(asio::buffer(context_.read_buffer.data(), read_limit()), ec);
  }
  if (ec == asio::error::would_block) {
    return read();
  }
  if (ec) {
    return close();
  }
  has_sent_bytes_ = true;
  if (state_ != State::kClosing) {
    reader_.append_input(context_.read_buffer.data(), size);
  }
  if (state_ == State::kIdle || state_ == State::kReading) {
    parse_input();
  }
  if (body_piece_requested_) {
    deliver_body_piece();
  }
  read();
}

void ClientSession::parse_input() {
  last_received_at_ = context_.clock.now();
  while (reader_.has_input() && (state_ == State::kIdle || state_ == State::kReading)) {
    if (!reader_.is_message_open()) {
      reader_.start_message();
      enter(State::kReading);
    }
    RequestReader::Progress progress = RequestReader::Progress::kNeedsInput;
    try {
      progress = reader_.advance();
    } catch (const HttpError& e) {
      return reject(e.status(), e.what());
    }
    if (reader_.take_expects_continue()) {
      error_code ignored;
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    if (progress == RequestReader::Progress::kNeedsInput) {
      return;
    }
    if (progress == RequestReader::Progress::kMessageReady) {
      take_message();
    }
  }
}

void ClientSession::take_message() {
  has_had_request_ = true;
  if (reader_.is_health_check()) {
    respond_to_health_check();
  } else {
    deliver_request();
  }
}

void ClientSession::respond_to_health_check() {
  reader_.end_message();
  const bool starting = !context_.callbacks.is_serving();
  ClientResponse health;
  health.status = context_.draining || starting ? 503 : 200;
  if (context_.draining) {
    health.body = "draining\n";
  } else {
    health.body = starting ? "starting\n" : "ok\n";
  }
  write_response(health,
                 closes_after_response() ? ConnectionUse::kClose : ConnectionUse::kKeepAlive);
}

void ClientSession::deliver_request() {
  ClientRequest request;
  try {
    request = reader_.take_request();
  } catch (const HttpError& e) {
    return reject(e.status(), e.what());
  }
  enter(State::kAwaitingResponse);
  const auto id = context_.callbacks.on_request(client_, std::move(request));
  if (!id) {
    return reject(http::status::conflict, "a request of that id is open");
  }
  request_ = *id;
}

void ClientSession::request_body_piece() {
  if (state_ != State::kAwaitingResponse || !reader_.is_body_incomplete()) {
    return;
  }
  body_piece_requested_ = true;
  state_since_ = context_.clock.now();
  asio::post(socket_.get_executor(), [this, self = shared_from_this()] {
    if (body_piece_requested_) {
      deliver_body_piece();
    }
    read();
  });
}

void ClientSession::deliver_body_piece() {
  last_received_at_ = context_.clock.now();
  std::optional<BodyPiece> piece;
  try {
    piece = reader_.take_body_piece();
  } catch (const HttpError&) {
    return close();
  }
  if (!piece) {
    return;
  }
  body_piece_requested_ = false;
  context_.callbacks.on_body_piece(request_, piece->bytes, piece->is_last);
}

// ---- Responses

void ClientSession::respond(const ClientResponse& response) {
  if (state_ != State::kAwaitingResponse) {
    return;
  }
  request_ = 0;
  // What is left of the request's body is not awaited.
  const bool body_cut_off = reader_.is_body_incomplete();
  body_piece_requested_ = false;
  reader_.end_message();
  const bool closes = body_cut_off || closes_after_response();
  write_response(response, closes ? ConnectionUse::kClose : ConnectionUse::kKeepAlive);
}

void ClientSession::reject(http::status status, const std::string& reason) {
  reader_.end_message();
  body_piece_requested_ = false;
  ClientResponse response;
  response.status = int(status);
  response.body = reason + "\n";
  write_response(response, ConnectionUse::kClose);
}

void ClientSession::write_response(const ClientResponse& response, ConnectionUse connection_use) {
  enter(State::kWriting);
  connection_use_ = connection_use;
  output_ = encode_response(response, connection_use);
  write_output(&ClientSession::on_response_written);
}

void ClientSession::begin_response(std::optional<std::uint64_t> content_length,
                                   const std::string& piece) {
  if (state_ != State::kAwaitingResponse) {
    return;
  }
  is_streaming_response_ = true;
  if (content_length) {
    body_delimiter_ = BodyDelimiter::kContentLength;
  } else {
    body_delimiter_ =
        reader_.is_http11() ? BodyDelimiter::kChunked : BodyDelimiter::kConnectionClose;
  }
  const bool closes = closes_after_response() || body_delimiter_ == BodyDelimiter::kConnectionClose;
  connection_use_ = closes ? ConnectionUse::kClose : ConnectionUse::kKeepAlive;
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  output_ = encode_streamed_head(content_length, body_delimiter_, connection_use_);
  if (!piece.empty()) {
    output_ += body_delimiter_ == BodyDelimiter::kChunked ? encode_chunk(piece) : piece;
  }
  write_piece();
}

void ClientSession::send_body_piece(std::string piece) {
  if (!is_streaming_response_ || state_ != State::kWriting) {
    return;
  }
  output_ = body_delimiter_ == BodyDelimiter::kChunked ? encode_chunk(piece) : std::move(piece);
  write_piece();
}

void ClientSession::finish_response() {
  if (!is_streaming_response_ || state_ != State::kWriting) {
    return;
  }
  is_streaming_response_ = false;
  request_ = 0;
  output_.clear();
  if (body_delimiter_ == BodyDelimiter::kChunked) {
    output_ = kLastChunk;
  }
  write_output(&ClientSession::on_response_written);
}

// The connection is reset: after an orderly close, a response without a length would look complete.
void ClientSession::abort_response() {
  if (!is_streaming_response_) {
    return;
  }
  is_streaming_response_ = false;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void ClientSession::write_piece() {
  enter(State::kWriting);
  write_output(&ClientSession::on_piece_written);
}

void ClientSession::write_output(void (ClientSession::*on_written)()) {
  awaits_piece_ = false;
  asio::async_write(
      socket_, asio::buffer(output_),
      [this, on_written, self = shared_from_this()](error_code ec, std::size_t /*size*/) {
        if (state_ != State::kWriting) {
          return;
        }
        if (ec) {
          return close();
        }
        (this->*on_written)();
      });
}

void ClientSession::on_piece_written() {
  release_output();
  awaits_piece_ = true;
  context_.callbacks.on_piece_sent(request_);
}

void ClientSession::on_response_written() {
  release_output();
  if (connection_use_ == ConnectionUse::kClose) {
    close_after_last_response();
  } else {
    enter(State::kIdle);
    parse_input();
    reader_.release_memory(kMaxBufferedBytes);
    if (context_.draining) {
      close_if_idle();
    }
    context_.owner.on_session_idle();
  }
  read();
}

void ClientSession::release_output() {
  if (output_.capacity() > kMaxBufferedBytes) {
    output_ = {};
  }
}

// ---- Closing

void ClientSession::close_if_idle() {
  if (rests_between_requests() && !has_unread_input()) {
    close();
  }
}

void ClientSession::close() {
  if (state_ == State::kClosed) {
    return;
  }
  const State previous = std::exchange(state_, State::kClosed);
  error_code ignored;
  socket_.close(ignored);
  if (previous == State::kAwaitingResponse || is_streaming_response_) {
    context_.callbacks.on_client_disconnected(request_);
  }
  context_.owner.on_session_closed(client_);
}

// Without this, a close with unread input would reset the connection and could take the response
// with it.
void ClientSession::close_after_last_response() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  reader_.discard_input();
  enter(State::kClosing);
}

// Without this, a client that sends 60 MB before it reads would never see its response. Reading all
// of it as it arrives would delay the other clients, so it is dropped in the kernel, at intervals.
void ClientSession::discard_input() {
  is_reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
    on_discardable_input(ec);
  });
}

void ClientSession::on_discardable_input(error_code ec) {
  is_reading_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (ec || !discard_received_bytes()) {
    return close();
  }
  is_reading_ = true;
  context_.timers.after(kDiscardInterval, [this, self = shared_from_this()] {
    is_reading_ = false;
    if (state_ == State::kClosing) {
      discard_input();
    }
  });
}

// False once the client has ended its side.
bool ClientSession::discard_received_bytes() {
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardBytes) {
    const auto received = ::recv(socket_.native_handle(), context_.read_buffer.data(),
                                 context_.read_buffer.size(), MSG_TRUNC | MSG_DONTWAIT);
    if (received <= 0) {
      return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    last_received_at_ = context_.clock.now();
    discarded += std::size_t(received);
  }
  return true;
}

// No more is read of a client that has sent too much ahead, so its disconnect stays behind the
// unread bytes. Without this, its request would be forwarded although it has gone.
void ClientSession::watch_for_disconnect() {
  if (state_ != State::kAwaitingResponse || is_watching_disconnect_) {
    return;
  }
  is_watching_disconnect_ = true;
  context_.timers.after(kDisconnectCheckInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->check_for_disconnect();
    }
  });
}

void ClientSession::check_for_disconnect() {
  is_watching_disconnect_ = false;
  pollfd hang_up{socket_.native_handle(), POLLRDHUP, 0};
  if (state_ == State::kAwaitingResponse && ::poll(&hang_up, 1, 0) > 0) {
    return close();
  }
  read();
}

// ---- Limits

// A response that has been sent while its client has not closed counts too: input that arrives
// later would be unread, and would reset the connection.
bool ClientSession::has_work(Micros now) const {
  if (state_ != State::kIdle) {
    return state_ != State::kClosed;
  }
  const bool may_send_first_request = !has_had_request_ && now - connected_at_ < kFirstByteTimeout;
  return may_send_first_request || has_unread_input();
}

EvictionRank ClientSession::eviction_rank() const {
  switch (state_) {
    case State::kClosing:
      return EvictionRank::kAfterResponse;
    case State::kIdle:
      if (has_unread_input()) {
        return EvictionRank::kNever;
      }
      return has_sent_bytes_ ? EvictionRank::kBetween : EvictionRank::kSilent;
    case State::kReading:  // its last byte may have arrived unread
      return has_unread_input() ? EvictionRank::kNever : EvictionRank::kMidRequest;
    default:
      return EvictionRank::kNever;
  }
}

void ClientSession::enforce_timeouts(Micros now) {
  if (state_ == State::kReading && is_request_overdue(now)) {
    return reject(http::status::request_timeout, "too slow");
  }
  if (body_piece_requested_ && now - std::max(last_received_at_, state_since_) > kBodyTimeout) {
    return close();
  }
  if (!has_exceeded_time(now)) {
    return;
  }
  if (state_ != State::kIdle || !has_unread_input()) {
    close();
  }
}

bool ClientSession::is_request_overdue(Micros now) const {
  if (reader_.has_valid_head()) {
    return now - last_received_at_ > kBodyTimeout;
  }
  const bool first_overdue = !has_had_request_ && now - connected_at_ > kHeadTimeout;
  return first_overdue || now - state_since_ > kHeadTimeout;
}

bool ClientSession::has_exceeded_time(Micros now) const {
  const Micros time_in_state = now - state_since_;
  switch (state_) {
    case State::kIdle:
      return (!has_had_request_ && now - connected_at_ > kHeadTimeout) ||
             time_in_state > kIdleTimeout;
    case State::kWriting:
      return !awaits_piece_ && time_in_state > kWriteTimeout;
    case State::kClosing:
      return now - std::max(state_since_, last_received_at_) > kLingerTimeout ||
             time_in_state > kMaxLingerTime;
    default:
      return false;
  }
}

}  // namespace quota_gateway::net
