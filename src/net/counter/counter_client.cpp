#include "net/counter/counter_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <iostream>
#include <string_view>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Micros kMicrosPerMillisecond = 1000;
constexpr Micros kLivenessCheckInterval = 100'000;
// The counter closes connections that have been idle for 10 s or less.
constexpr Micros kPingAfterIdle = 2'000'000;
// Without a response to a call in flight for this long, the connection counts as dead.
constexpr Micros kNoResponseTimeout = 1'500'000;
constexpr Micros kMinBackoff = 50'000;
constexpr Micros kMaxBackoff = 500'000;
constexpr std::size_t kMaxCallsInFlight = 4096;
// No honest reply comes near it.
constexpr std::size_t kMaxReplyBytes = 64 << 10;
constexpr Micros kLogInterval = 10'000'000;

}  // namespace

CounterClient::CounterClient(asio::io_context& io, Timers& timers, const Clock& clock,
                             tcp::endpoint address, Micros call_timeout, Micros connect_timeout,
                             ReplyHandler on_reply)
    : io_(io),
      timers_(timers),
      clock_(clock),
      address_(std::move(address)),
      call_timeout_(call_timeout),
      connect_timeout_(connect_timeout),
      on_reply_(std::move(on_reply)),
      socket_(io) {}

void CounterClient::start() {
  connect();
  check_liveness();
}

// Calls in flight may have been added, and only their own connection can still say so; without
// waiting for it, they would be lost or counted twice.
void CounterClient::close_when_idle() {
  closing_ = true;
  if (state_ != State::kConnected) {
    return disconnect(DisconnectReason::kClosedByOwner);
  }
  close_if_idle();
}

void CounterClient::close_if_idle() {
  const bool idle = std::all_of(calls_.begin(), calls_.end(), [](const Call& call) {
    return call.answered || call.kind == Call::Kind::kPing;
  });
  if (closing_ && state_ == State::kConnected && idle) {
    disconnect(DisconnectReason::kClosedByOwner);
  }
}

// ---- The connection

void CounterClient::connect() {
  const int generation = ++connection_generation_;
  state_ = State::kConnecting;
  last_received_at_ = clock_.now();
  parser_.emplace();
  socket_ = tcp::socket(io_);
  socket_.async_connect(address_, [this, self = shared_from_this(), generation](error_code ec) {
    if (generation == connection_generation_) {
      on_connected(ec);
    }
  });
  timers_.after(connect_timeout_, [this, self = shared_from_this(), generation] {
    if (generation == connection_generation_ && state_ == State::kConnecting) {
      disconnect(DisconnectReason::kConnectTimeout);
    }
  });
}

void CounterClient::on_connected(error_code ec) {
  if (ec) {
    return disconnect(DisconnectReason::kSocketError, ec);
  }
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  state_ = State::kConnected;
  last_received_at_ = clock_.now();
  // Both ends of a time without the counter are in the log, so that an incident can be dated.
  if (disconnected_since_) {
    const Micros outage = last_received_at_ - *disconnected_since_;
    std::cerr << "counter: reconnected after " << outage / kMicrosPerMillisecond << " ms\n";
  }
  disconnected_since_.reset();
  write_pending_commands();
  read();
}

void CounterClient::disconnect(DisconnectReason reason, error_code error) {
  error_code ignored;
  socket_.close(ignored);
  ++connection_generation_;
  state_ = State::kDisconnected;
  std::deque<Call> calls;
  calls.swap(calls_);
  // How much of a pending write was sent is not known; all of it may have been added.
  const std::size_t possibly_sent = written_ + write_buffer_.size();
  write_buffer_.clear();
  written_ = 0;
  const Micros now = clock_.now();
  if (!disconnected_since_) {
    disconnected_since_ = now;
  }
  log_disconnect(now, reason, error);
  reconnect_after_backoff(now);
  for (Call& call : calls) {
    const bool sent = call.command.empty() && call.end_offset <= possibly_sent;
    finish(call, sent ? CounterOutcome::kUnknown : CounterOutcome::kNotAdded);
  }
}

void CounterClient::log_disconnect(Micros now, DisconnectReason reason, error_code error) {
  const bool logged_lately = last_logged_at_ && now - *last_logged_at_ <= kLogInterval;
  if (!closing_ && !logged_lately) {
    last_logged_at_ = now;
    std::cerr << "counter: " << describe(reason, error) << '\n';
  }
}

std::string CounterClient::describe(DisconnectReason reason, error_code error) {
  switch (reason) {
    case DisconnectReason::kClosedByOwner:
      return "closed";
    case DisconnectReason::kConnectTimeout:
      return "connecting timed out";
    case DisconnectReason::kSocketError:
      return error.message();
    case DisconnectReason::kReplyParserFailed:
      return "reply parser failed";
    case DisconnectReason::kMalformedReply:
      return "malformed reply";
    case DisconnectReason::kReplyWithoutCall:
      return "a reply without a call";
    case DisconnectReason::kReplyWithoutTotal:
      return "a reply without a total";
    case DisconnectReason::kOversizedReply:
      return "oversized reply";
    case DisconnectReason::kNoResponse:
      return "no response";
  }
  return "unknown reason";
}

void CounterClient::reconnect_after_backoff(Micros now) {
  // Spread by the clock, so that gateways that lost the counter together do not return together.
  const Micros spread = backoff_ > 0 ? now % (backoff_ / 2) : 0;
  const Micros wait = backoff_ * 3 / 4 + spread;
  backoff_ = std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
  if (closing_) {
    return;
  }
  timers_.after(wait, [this, self = shared_from_this(), generation = connection_generation_] {
    if (generation == connection_generation_ && !closing_) {
      connect();
    }
  });
}

// ---- Calls

void CounterClient::add(const AddToCounter& addition) {
  Call call;
  call.counter_name = addition.name;
  call.created_at = clock_.now();
  call.number = ++last_call_number_;
  if (closing_ || state_ == State::kDisconnected || calls_.size() >= kMaxCallsInFlight ||
      !std::isfinite(addition.amount)) {
    asio::post(io_, [this, self = shared_from_this(), call]() mutable {
      finish(call, CounterOutcome::kNotAdded);
    });
    return;
  }
  call.command = encode_add_command(addition);
  timers_.at(call.created_at + call_timeout_,
             [this, self = shared_from_this(), number = call.number] { on_call_timeout(number); });
  calls_.push_back(std::move(call));
  write_pending_commands();
}

// A call that was never handed to the socket is removed and known not to be added; one that was
// stays in line for its reply.
void CounterClient::on_call_timeout(std::uint64_t call_number) {
  if (closing_) {
    asio::post(io_, [this, self = shared_from_this()] { close_if_idle(); });
  }
  const auto it =
      std::lower_bound(calls_.begin(), calls_.end(), call_number,
                       [](const Call& call, std::uint64_t number) { return call.number < number; });
  if (it == calls_.end() || it->number != call_number || it->answered) {
    return;
  }
  if (it->command.empty()) {
    return finish(*it, CounterOutcome::kUnknown);
  }
  Call call = std::move(*it);
  calls_.erase(it);
  finish(call, CounterOutcome::kNotAdded);
}

void CounterClient::finish(Call& call, CounterOutcome outcome, double total) {
  if (call.answered || call.kind == Call::Kind::kPing) {
    return;
  }
  call.answered = true;
  on_reply_({call.counter_name, total, outcome, clock_.now() - call.created_at});
}

// ---- Commands out, replies in

void CounterClient::write_pending_commands() {
  if (state_ != State::kConnected || !write_buffer_.empty()) {
    return;
  }
  for (Call& call : calls_) {
    if (call.command.empty()) {
      continue;
    }
    write_buffer_ += call.command;
    call.command.clear();
    call.end_offset = written_ + write_buffer_.size();
  }
  if (write_buffer_.empty()) {
    return;
  }
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [this, self = shared_from_this(), generation = connection_generation_](
                        error_code ec, std::size_t size) {
                      if (generation != connection_generation_) {
                        return;
                      }
                      written_ += size;
                      write_buffer_.clear();
                      if (ec) {
                        return disconnect(DisconnectReason::kSocketError, ec);
                      }
                      write_pending_commands();
                    });
}

void CounterClient::read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [this, self = shared_from_this(), generation = connection_generation_](
                              error_code ec, std::size_t size) {
                            if (generation != connection_generation_) {
                              return;
                            }
                            if (ec) {
                              return disconnect(DisconnectReason::kSocketError, ec);
                            }
                            last_received_at_ = clock_.now();
                            backoff_ = 0;
                            parse_replies(size);
                            if (generation != connection_generation_) {
                              return;
                            }
                            close_if_idle();
                            if (generation == connection_generation_) {
                              read();
                            }
                          });
}

void CounterClient::parse_replies(std::size_t received) {
  using Status = CounterReplyParser::Status;
  if (!parser_->feed({read_buffer_.data(), received})) {
    return disconnect(DisconnectReason::kReplyParserFailed);
  }
  while (true) {
    const CounterReplyParser::Result result = parser_->next();
    if (result.status == Status::kMalformed) {
      return disconnect(DisconnectReason::kMalformedReply);
    }
    if (result.status == Status::kNeedMoreBytes) {
      break;
    }
    if (calls_.empty()) {
      return disconnect(DisconnectReason::kReplyWithoutCall);
    }
    if (!dispatch(result.reply)) {
      return disconnect(DisconnectReason::kReplyWithoutTotal);
    }
  }
  if (parser_->buffered_bytes() > kMaxReplyBytes) {
    disconnect(DisconnectReason::kOversizedReply);
  }
}

// After a reply that belongs to no call, the amount may have been added, and whether the next reply
// belongs to the next call can't be known. Without ending the connection there, a total could be
// taken for that of another customer.
bool CounterClient::dispatch(const CounterProtocolReply& reply) {
  using Kind = CounterProtocolReply::Kind;
  Call call = std::move(calls_.front());
  calls_.pop_front();
  if (call.kind == Call::Kind::kPing) {
    return reply.kind == Kind::kStatus;
  }
  switch (reply.kind) {
    case Kind::kTotal:
      finish(call, CounterOutcome::kOk, reply.total);
      return true;
    case Kind::kRejected:
      finish(call, CounterOutcome::kNotAdded);
      return true;
    default:
      finish(call, CounterOutcome::kUnknown);
      return false;
  }
}

// ---- Liveness

// Keeps an idle connection open and detects one whose counter has vanished.
void CounterClient::check_liveness() {
  if (closing_ && state_ == State::kDisconnected) {
    return;
  }
  const Micros now = clock_.now();
  if (state_ == State::kConnected) {
    if (!calls_.empty() &&
        now - std::max(calls_.front().created_at, last_received_at_) > kNoResponseTimeout) {
      // The counter may still hold the connection that we close, and it holds at most 32.
      backoff_ = kMaxBackoff;
      disconnect(DisconnectReason::kNoResponse);
    } else if (calls_.empty() && now - last_received_at_ > kPingAfterIdle) {
      send_ping(now);
    }
  }
  timers_.after(kLivenessCheckInterval, [this, self = shared_from_this()] { check_liveness(); });
}

void CounterClient::send_ping(Micros now) {
  Call ping;
  ping.kind = Call::Kind::kPing;
  ping.created_at = now;
  ping.number = ++last_call_number_;
  ping.command = encode_ping_command();
  calls_.push_back(std::move(ping));
  write_pending_commands();
}

}  // namespace quota_gateway::net
