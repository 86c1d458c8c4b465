#include "net/counter/counter_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "net/counter/counter_liveness.hpp"
#include "net/event_loop/exception_guard.hpp"
#include "net/system_call/send_all.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Reason = CounterDisconnectReason;

// A timer that is later than this does not fire by itself.
constexpr Micros kOverdueAfter = 100'000;           // us
constexpr Micros kLivenessCheckInterval = 100'000;  // us
constexpr std::size_t kMaxCallsInFlight = 4096;
// Valid replies are much shorter.
constexpr std::size_t kMaxReplyBytes = 64 << 10;

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
  check_liveness(liveness_check_at_);
}

// The counter may already have executed calls in flight, and only the current connection can
// deliver their replies. If the connection were closed earlier, their amounts would be lost or
// counted twice.
void CounterClient::close_when_idle() {
  closing_ = true;
  if (state_ != State::kConnected) {
    return disconnect({Reason::kClosedByOwner});
  }
  close_if_idle();
}

void CounterClient::close_if_idle() {
  if (closing_ && state_ == State::kConnected && !calls_.any_needs_reply()) {
    disconnect({Reason::kClosedByOwner});
  }
}

// Connection.

void CounterClient::connect() {
  const Generation generation = ++connection_generation_;
  reconnect_at_.reset();
  state_ = State::kConnecting;
  last_received_at_ = clock_.now();
  if (!run_and_log_exceptions("counter", [&] { begin_connection(generation); })) {
    disconnect({Reason::kSocketError, asio::error::no_memory});
  }
}

bool CounterClient::resume() {
  const Micros overdue_since = clock_.now() - kOverdueAfter;
  if (closing_) {
    return false;
  }
  if (reconnect_at_ && *reconnect_at_ < overdue_since) {
    connect();
    return true;
  }
  if (liveness_check_at_ < overdue_since) {
    check_liveness(liveness_check_at_);
    return true;
  }
  return false;
}

void CounterClient::begin_connection(Generation generation) {
  parser_.emplace();
  socket_ = tcp::socket(io_);
  connect_socket(socket_, address_, [this, self = shared_from_this(), generation](error_code ec) {
    if (generation == connection_generation_) {
      on_connected(ec);
    }
  });
  timers_.after(connect_timeout_, [this, self = shared_from_this(), generation] {
    if (generation == connection_generation_ && state_ == State::kConnecting) {
      disconnect({Reason::kConnectTimeout});
    }
  });
}

void CounterClient::on_connected(error_code ec) {
  if (ec) {
    return disconnect({Reason::kSocketError, ec});
  }
  no_delay_.on_new_socket();
  state_ = State::kConnected;
  last_received_at_ = clock_.now();
  outage_log_.on_connected(last_received_at_);
  write_pending_commands();
  read();
}

void CounterClient::disconnect(const CounterDisconnect& cause) {
  error_code ignored;
  socket_.close(ignored);
  ++connection_generation_;
  state_ = State::kDisconnected;
  const std::vector<UnansweredCall> unanswered_calls = calls_.end_connection();
  const Micros now = clock_.now();
  if (!closing_) {
    outage_log_.on_disconnected(cause, now);
    reconnect_after_backoff(now);
  }
  for (const UnansweredCall& unanswered : unanswered_calls) {
    finish(unanswered);
  }
}

void CounterClient::reconnect_after_backoff(Micros now) {
  const Micros wait = backoff_.next(now);
  reconnect_at_ = now + wait;
  timers_.after(wait, [this, self = shared_from_this(), generation = connection_generation_] {
    if (generation == connection_generation_ && !closing_) {
      connect();
    }
  });
}

// Calls.

void CounterClient::add(const AddToCounter& addition) {
  CounterCall call;
  call.counter_key = addition.key;
  call.created_at = clock_.now();
  const bool accepts_calls =
      !closing_ && state_ != State::kDisconnected && calls_.size() < kMaxCallsInFlight;
  if (!accepts_calls || !std::isfinite(addition.amount)) {
    return reject_call(call);
  }
  const Micros timeout_at = call.created_at + call_timeout_;
  call.command = encode_add_command(addition);
  const std::uint64_t number = calls_.push(std::move(call));
  timers_.at(timeout_at, [this, self = shared_from_this(), number] { on_call_timeout(number); });
  write_pending_commands();
}

void CounterClient::reject_call(const CounterCall& call) {
  asio::post(io_,
             [this, self = shared_from_this(), call] { finish(call, CounterOutcome::kNotAdded); });
}

void CounterClient::on_call_timeout(std::uint64_t call_number) {
  if (closing_) {
    asio::post(io_, [this, self = shared_from_this()] { close_if_idle(); });
  }
  if (const std::optional<UnansweredCall> timed_out = calls_.time_out(call_number)) {
    finish(*timed_out);
  }
}

void CounterClient::finish(const UnansweredCall& unanswered) {
  finish(unanswered.call,
         unanswered.possibly_sent ? CounterOutcome::kUnknown : CounterOutcome::kNotAdded);
}

void CounterClient::finish(const CounterCall& call, CounterOutcome outcome, double total) {
  if (call.needs_reply()) {
    on_reply_({call.counter_key, total, outcome, clock_.now() - call.created_at});
  }
}

// Writing commands and reading replies.

void CounterClient::write_pending_commands() {
  if (state_ != State::kConnected || calls_.is_writing()) {
    return;
  }
  const std::string& commands = calls_.begin_write();
  if (commands.empty()) {
    return;
  }
  const auto is_current = [this, generation = connection_generation_] {
    return generation == connection_generation_;
  };
  no_delay_.ensure_set(socket_);
  send_all(socket_, commands, is_current,
           [this, self = shared_from_this()](error_code ec, std::size_t sent) {
             calls_.on_written(sent);
             if (ec) {
               return disconnect({Reason::kSocketError, ec});
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
                              return disconnect({Reason::kSocketError, ec});
                            }
                            const bool is_read = run_and_log_exceptions("counter", [&] {
                              on_received(size);
                              if (generation == connection_generation_) {
                                read();
                              }
                            });
                            if (!is_read && generation == connection_generation_) {
                              disconnect({Reason::kSocketError, asio::error::no_memory});
                            }
                          });
}

void CounterClient::on_received(std::size_t size) {
  last_received_at_ = clock_.now();
  backoff_.reset();
  parse_replies(size);
  close_if_idle();
}

void CounterClient::parse_replies(std::size_t received) {
  using Status = CounterReplyParser::Status;
  if (!parser_->feed({read_buffer_.data(), received})) {
    return disconnect({Reason::kReplyParserFailed});
  }
  while (true) {
    const CounterReplyParser::Result result = parser_->next();
    if (result.status == Status::kMalformed) {
      return disconnect({Reason::kMalformedReply});
    }
    if (result.status == Status::kNeedMoreBytes) {
      break;
    }
    if (calls_.empty()) {
      return disconnect({Reason::kReplyWithoutCall});
    }
    if (!dispatch(result.reply)) {
      return disconnect({Reason::kReplyWithoutTotal});
    }
  }
  if (parser_->buffered_bytes() > kMaxReplyBytes) {
    disconnect({Reason::kOversizedReply});
  }
}

// If a reply is not valid for its call, the amount may or may not have been added, and the
// following replies may not belong to the following calls. The caller then ends the connection;
// otherwise one customer's total could be attributed to another customer.
bool CounterClient::dispatch(const CounterProtocolReply& reply) {
  using Kind = CounterProtocolReply::Kind;
  const CounterCall call = calls_.pop();
  if (call.kind == CounterCall::Kind::kPing) {
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

// Liveness.

// Pings the counter on an idle connection, and ends a connection on which the counter has stopped
// responding.
void CounterClient::check_liveness(Micros due) {
  if (due != liveness_check_at_) {
    return;  // resume() has made this check
  }
  if (closing_ && state_ == State::kDisconnected) {
    return;
  }
  if (state_ == State::kConnected) {
    switch (check_counter_liveness(clock_.now(), calls_.oldest_created_at(), last_received_at_)) {
      case CounterLiveness::kAlive:
        break;
      case CounterLiveness::kIdle:
        send_ping();
        break;
      case CounterLiveness::kUnresponsive:
        // The counter may keep holding the closed connection, and it holds at most 32 connections,
        // so the client reconnects only after the maximum wait.
        backoff_.use_max_wait();
        disconnect({Reason::kNoResponse});
        break;
    }
  }
  const Micros next = clock_.now() + kLivenessCheckInterval;
  liveness_check_at_ = next;
  timers_.at(next, [this, self = shared_from_this(), next] { check_liveness(next); });
}

void CounterClient::send_ping() {
  CounterCall ping;
  ping.kind = CounterCall::Kind::kPing;
  ping.created_at = clock_.now();
  ping.command = encode_ping_command();
  calls_.push(std::move(ping));
  write_pending_commands();
}

}  // namespace quota_gateway::net
