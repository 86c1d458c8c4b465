#include "net/discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "net/discovery/json_scanner.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Discovery takes what a silent watch misses as known to the gateway 6 s after it fell silent, and
// an empty line comes every 2 s. So a missed heartbeat and some, which leaves time for a second
// attempt.
constexpr Micros kMaxSilence = 3'000'000;  // us
constexpr Micros kInitialBackoff = 100'000;
constexpr Micros kMaxBackoff = 1'000'000;

// Discovery takes what an agent beside this gateway has as known at once, also when the agent comes
// back, and 250 ms later nothing new may go to a draining endpoint. So the response time and the
// backoff together stay under that.
constexpr Micros kPushedResponseTime = 120'000;  // us from connecting to the first byte
constexpr Micros kInitialPushedBackoff = 20'000;
constexpr Micros kMaxPushedBackoff = 60'000;
// The same where lists are polled: requests wait in a queue.
constexpr Micros kPolledResponseTime = 5'000'000;

// The longest time without any more of a list, us. Discovery takes the list as known meanwhile, as
// above.
constexpr Micros kMaxPushedListPause = 150'000;
constexpr Micros kMaxPolledListPause = 1'000'000;

// A timer that is so late shows that this process was delayed, not the agent.
constexpr Micros kMaxTimerDelay = 30'000;  // us

constexpr Micros kInitialRejectionBackoff = 1'000'000;  // us
constexpr Micros kMaxRetryAfter = 30'000'000;           // us that are honoured
constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

// Of the receive buffer.
constexpr int kProbeBufferBytes = 1152;
constexpr int kSmallListBufferBytes = 16384;
constexpr int kUnlimitedBufferBytes = 1 << 20;

constexpr Micros kMinLogInterval = 10'000'000;  // us

}  // namespace

class DiscoveryClient::ResponseError : public std::runtime_error {
 public:
  ResponseError(DisconnectReason reason, const std::string& detail)
      : std::runtime_error(detail), reason_(reason) {}
  DisconnectReason reason() const { return reason_; }

 private:
  DisconnectReason reason_;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, Timers& timers, const Clock& clock,
                                 DiscoveryOptions options, DiscoveryCallbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      pushed_(!options.max_rejection_backoff),
      limits_(options.limits),
      callbacks_(std::move(callbacks)),
      agent_(std::move(options.agent)),
      revision_(options.revision),
      socket_(io),
      intake_(options.limits, pushed_ ? kMaxPushedListPause : kMaxPolledListPause,
              options.seed + 2),
      reconnect_backoff_(pushed_ ? kInitialPushedBackoff : kInitialBackoff,
                         pushed_ ? kMaxPushedBackoff : kMaxBackoff, options.seed),
      rejection_backoff_(
          kInitialRejectionBackoff,
          std::max(kInitialRejectionBackoff, options.max_rejection_backoff.value_or(0)),
          options.seed + 1) {}

void DiscoveryClient::start() {
  connect();
}

// Another agent may not know our revision, and what changed in between would be missed. So it is
// asked for the complete list.
void DiscoveryClient::move_to(tcp::endpoint agent) {
  agent_ = std::move(agent);
  request_complete_list_ = true;
  agent_changed_ = true;
  intake_.reset();
  reconnect_backoff_.reset();
  rejection_backoff_.reset();
  disconnect({DisconnectReason::kAgentChanged, "moving to another agent"});
}

// ---- Connection

void DiscoveryClient::connect() {
  const Generation generation = ++connection_generation_;
  last_heard_at_ = clock_.now();
  has_response_ = false;
  check_silence(generation, last_heard_at_);
  unparsed_.clear();
  intake_.abandon();
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);  // a watch has no end; each list has one
  socket_ = tcp::socket(io_);
  error_code failed;
  socket_.open(agent_.protocol(), failed);
  if (failed) {
    disconnect({DisconnectReason::kConnectionFailed, failed.message()});
    return;
  }
  limit_receive_buffer(intake_.read_scope(last_heard_at_));
  socket_.async_connect(agent_, [this, generation](error_code ec) {
    if (generation != connection_generation_) {
      return;
    }
    if (ec) {
      disconnect({DisconnectReason::kConnectionFailed, ec.message()});
    } else {
      send_request(generation);
    }
  });
}

// What an agent has sent has gone over the network, read or not, and the system would accept
// megabytes ahead.
void DiscoveryClient::limit_receive_buffer(ListReadScope scope) {
  receive_limited_ = scope != ListReadScope::kUnlimited;
  if (!receive_limited_) {
    return;
  }
  const int bytes = scope == ListReadScope::kProbe ? kProbeBufferBytes : kSmallListBufferBytes;
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

void DiscoveryClient::lift_receive_limit() {
  if (!receive_limited_) {
    return;
  }
  receive_limited_ = false;
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kUnlimitedBufferBytes), ignored);
}

// Even if a complete list is needed, a limited connection asks for changes: complete lists may be
// what fails, while changes to the list in force would still be accepted.
void DiscoveryClient::send_request(Generation generation) {
  request_ = "GET /catalog/members?watch=1";
  if (!agent_changed_ && (!request_complete_list_ || receive_limited_)) {
    request_ += "&after=" + std::to_string(revision_);
  }
  request_ += " HTTP/1.1\r\nHost: " + agent_.address().to_string() + "\r\n\r\n";
  asio::async_write(socket_, asio::buffer(request_),
                    [this, generation](error_code ec, std::size_t) {
                      if (generation == connection_generation_ && ec) {
                        disconnect({DisconnectReason::kConnectionFailed, ec.message()});
                      }
                    });
  read(generation);
}

void DiscoveryClient::read(Generation generation) {
  const std::size_t max_bytes =
      receive_limited_ ? std::min(limits_.probe_bytes, read_buffer_.size()) : read_buffer_.size();
  socket_.async_read_some(asio::buffer(read_buffer_, max_bytes),
                          [this, generation](error_code ec, std::size_t size) {
                            if (generation != connection_generation_) {
                              return;
                            }
                            if (ec) {
                              disconnect({DisconnectReason::kConnectionFailed, ec.message()});
                              return;
                            }
                            on_read(size);
                            if (generation == connection_generation_) {
                              read(generation);
                            }
                          });
}

void DiscoveryClient::on_read(std::size_t size) {
  last_heard_at_ = clock_.now();
  has_response_ = true;
  try {
    on_bytes(size);
  } catch (const ResponseError& e) {
    disconnect({e.reason(), e.what()});
  } catch (const EndpointListTooLarge& e) {
    disconnect({DisconnectReason::kListTooLarge, e.what()});
  } catch (const std::exception& e) {
    disconnect({DisconnectReason::kInvalidResponse, e.what()});
  }
}

// ---- Response

void DiscoveryClient::on_bytes(std::size_t size) {
  parse_http(size);
  if (!parser_->is_header_done()) {
    return;
  }
  if (parser_->get().result() != http::status::ok) {
    on_request_rejected();
  }
  callbacks_.on_response();
  on_body(std::exchange(parser_->get().body(), {}));
  if (unparsed_.size() > kMaxUnparsedBytes) {
    throw ResponseError(DisconnectReason::kInvalidResponse, "the response is not HTTP");
  }
  if (intake_.is_in_progress()) {
    const Micros now = clock_.now();
    if (intake_.on_progress(size, now)) {
      check_list_deadline(connection_generation_, intake_.begun_count(), now);
    }
  }
  if (parser_->is_done()) {
    disconnect({DisconnectReason::kWatchEnded, "the agent ended the watch"});
  }
}

void DiscoveryClient::parse_http(std::size_t size) {
  unparsed_.append(read_buffer_.data(), size);
  while (!unparsed_.empty()) {
    error_code ec;
    const std::size_t used = parser_->put(asio::buffer(unparsed_), ec);
    unparsed_.erase(0, used);
    if (ec && ec != http::error::need_more) {
      throw ResponseError(DisconnectReason::kInvalidResponse, ec.message());
    }
    if (used == 0) {
      break;
    }
  }
}

// Waits a backoff beyond Retry-After, since many gateways are given the same one. Where lists are
// pushed no queue of requests has to be kept short.
void DiscoveryClient::on_request_rejected() {
  const auto retry_after = parser_->get()[http::field::retry_after];
  double seconds = 0;
  std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(), seconds);
  if (!pushed_) {
    const Micros honoured = Micros(std::clamp(seconds * 1e6, 0.0, double(kMaxRetryAfter)));
    const Micros wait = honoured + rejection_backoff_.next();
    rejection_wait_ = wait > 0 ? std::optional(wait) : std::nullopt;
  }
  throw ResponseError(DisconnectReason::kRequestRejected,
                      "status " + std::to_string(parser_->get().result_int()));
}

// A list ends where its brackets do, not where its line does: it may come indented.
void DiscoveryClient::on_body(std::string_view piece) {
  while (!piece.empty()) {
    if (!intake_.is_in_progress()) {
      if (skip_separator(piece.front())) {
        piece.remove_prefix(1);
        continue;
      }
      if (piece.front() != '{') {
        throw ResponseError(DisconnectReason::kInvalidResponse, "the response is no endpoint list");
      }
      intake_.begin(clock_.now());
    }
    piece.remove_prefix(intake_.consume(piece));
    if (intake_.is_complete()) {
      on_list();
    } else if (intake_.enforce_read_scope()) {
      lift_receive_limit();
    }
  }
}

// Between two lists. An empty line is a heartbeat.
bool DiscoveryClient::skip_separator(char byte) {
  if (byte == '\n') {
    on_healthy();
  }
  return is_json_space(byte);
}

void DiscoveryClient::on_list() {
  on_healthy();
  EndpointList list = intake_.finish();
  lift_receive_limit();
  revision_ = list.revision;
  request_complete_list_ = false;
  if (list.complete) {
    agent_changed_ = false;
  }
  callbacks_.on_update(std::move(list));
}

// ---- Liveness

Micros DiscoveryClient::silence_limit() const {
  if (has_response_) {
    return kMaxSilence;
  }
  return pushed_ ? kPushedResponseTime : kPolledResponseTime;
}

// A watch can break without a sign of it, and an agent can accept a connection and never respond.
// When this process was delayed, what came meanwhile is still unread: only time in which the event
// loop ran counts.
void DiscoveryClient::check_silence(Generation generation, Micros due) {
  if (generation != connection_generation_) {
    return;
  }
  const Micros now = clock_.now();
  if (now - due > kMaxTimerDelay) {
    last_heard_at_ = std::max(last_heard_at_, now - silence_limit() + kMaxTimerDelay);
  }
  if (now - last_heard_at_ >= silence_limit()) {
    disconnect({DisconnectReason::kSilent, "the watch is silent"});
    return;
  }
  const Micros next = last_heard_at_ + silence_limit();
  timers_.at(next, [this, generation, next] { check_silence(generation, next); });
}

// As for silence, only time in which the event loop ran counts.
void DiscoveryClient::check_list_deadline(Generation generation, int list_number, Micros due) {
  const bool is_current =
      generation == connection_generation_ && list_number == intake_.begun_count();
  if (!is_current || !intake_.is_in_progress()) {
    return;
  }
  const Micros now = clock_.now();
  if (now - due > kMaxTimerDelay) {
    intake_.extend_deadline(now, kMaxTimerDelay);
  }
  const Micros deadline = intake_.deadline();
  if (now >= deadline) {
    disconnect({DisconnectReason::kListUnfinished, "the list stopped or came too slowly"});
    return;
  }
  timers_.at(deadline, [this, generation, list_number, deadline] {
    check_list_deadline(generation, list_number, deadline);
  });
}

void DiscoveryClient::on_healthy() {
  reconnect_backoff_.reset();
  rejection_backoff_.reset();
  if (disconnected_at_) {
    std::cerr << "discovery: recovered after " << (clock_.now() - *disconnected_at_) / 1000
              << " ms\n";
  }
  disconnected_at_.reset();
}

// ---- Disconnection

// What was not understood is a gap, which only a complete list closes.
bool DiscoveryClient::needs_complete_list(DisconnectReason reason) {
  switch (reason) {
    case DisconnectReason::kAgentChanged:
    case DisconnectReason::kRequestRejected:
    case DisconnectReason::kInvalidResponse:
    case DisconnectReason::kListTooLarge:
    case DisconnectReason::kListUnfinished:
      return true;
    case DisconnectReason::kConnectionFailed:
    case DisconnectReason::kSilent:
    case DisconnectReason::kWatchEnded:
      break;
  }
  return false;
}

ListFailure DiscoveryClient::list_failure(DisconnectReason reason) {
  switch (reason) {
    case DisconnectReason::kListTooLarge:
      return ListFailure::kTooLarge;
    case DisconnectReason::kListUnfinished:
      return ListFailure::kUnfinished;
    default:
      return ListFailure::kMalformed;
  }
}

void DiscoveryClient::disconnect(const Disconnect& cause) {
  error_code ignored;
  socket_.close(ignored);
  const Generation generation = ++connection_generation_;
  request_complete_list_ = request_complete_list_ || needs_complete_list(cause.reason);
  const Micros now = clock_.now();
  const Micros wait = reconnect_wait(cause, now);
  if (now - last_logged_at_ > kMinLogInterval) {
    last_logged_at_ = now;
    std::cerr << "discovery: " << cause.detail << "; watching again from revision " << revision_
              << '\n';
  }
  if (!disconnected_at_) {
    disconnected_at_ = now;
  }
  timers_.after(wait, [this, generation] {
    if (generation == connection_generation_) {
      connect();
    }
  });
}

Micros DiscoveryClient::reconnect_wait(const Disconnect& cause, Micros now) {
  if (rejection_wait_) {
    return *std::exchange(rejection_wait_, std::nullopt);
  }
  return intake_.is_in_progress() ? reject_list(cause, now) : reconnect_backoff_.next();
}

// Returns how long to wait before the next request.
Micros DiscoveryClient::reject_list(const Disconnect& cause, Micros now) {
  const ListIntake::Rejection rejection = intake_.reject(list_failure(cause.reason), now);
  if (!rejection.retry_wait) {
    return reconnect_backoff_.next();
  }
  if (!rejection.was_probe) {
    last_logged_at_ = now;
    std::cerr << "discovery: endpoint list rejected after " << rejection.bytes << " bytes and "
              << rejection.endpoints << " endpoints: " << cause.detail << "; revision " << revision_
              << " stays in force, changes are requested in " << *rejection.retry_wait / 1000
              << " ms\n";
  }
  return *rejection.retry_wait;
}

}  // namespace quota_gateway::net
