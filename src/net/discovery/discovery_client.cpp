#include "net/discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <exception>
#include <utility>

#include "net/discovery/json_scanner.hpp"
#include "net/event_loop/exception_guard.hpp"
#include "net/system_call/send_all.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Reason = WatchDisconnectReason;

constexpr Micros kInitialRejectionBackoff = 1'000'000;  // us
constexpr unsigned kStatusOk = 200;
// Limit of the bytes after the response header that are buffered but cannot be parsed yet.
constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

WatchMode watch_mode(const DiscoveryOptions& options) {
  return options.max_rejection_backoff ? WatchMode::kPolled : WatchMode::kPushed;
}

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, Timers& timers, const Clock& clock,
                                 DiscoveryOptions options, DiscoveryCallbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      mode_(watch_mode(options)),
      limits_(options.limits),
      callbacks_(std::move(callbacks)),
      agent_(std::move(options.agent)),
      revision_(options.revision),
      socket_(io),
      liveness_(watch_timing(mode_).response_timeout),
      intake_(options.limits, watch_timing(mode_).max_list_pause, options.seed + 2),
      reconnect_backoff_(watch_timing(mode_).initial_backoff, watch_timing(mode_).max_backoff,
                         options.seed),
      rejection_backoff_(
          kInitialRejectionBackoff,
          std::max(kInitialRejectionBackoff, options.max_rejection_backoff.value_or(0)),
          options.seed + 1) {}

void DiscoveryClient::start() {
  connect();
}

// Requests a complete list from the new agent, which may not know the revision in force. A request
// for the changes since that revision could then miss some of them.
void DiscoveryClient::switch_agent(tcp::endpoint agent) {
  agent_ = std::move(agent);
  request_complete_list_ = true;
  agent_changed_ = true;
  intake_.reset();
  reconnect_backoff_.reset();
  rejection_backoff_.reset();
  disconnect({Reason::kAgentChanged, "switching to another agent"});
}

// ---- Connection

void DiscoveryClient::connect() {
  const Generation generation = ++connection_generation_;
  const Micros now = clock_.now();
  reconnect_at_.reset();
  silence_check_at_ = now;
  if (!run_and_log_exceptions("discovery", [&] { begin_connection(generation, now); })) {
    disconnect({Reason::kConnectionFailed, ""});
  }
}

bool DiscoveryClient::resume() {
  const Micros overdue_since = clock_.now() - kMaxTimerDelay;
  if (reconnect_at_ && *reconnect_at_ < overdue_since) {
    connect();
    return true;
  }
  if (!reconnect_at_ && connection_generation_ > 0 && silence_check_at_ < overdue_since) {
    check_silence(connection_generation_, silence_check_at_);
    return true;
  }
  return false;
}

void DiscoveryClient::begin_connection(Generation generation, Micros now) {
  liveness_.on_connecting(now);
  check_silence(generation, now);
  intake_.abandon();
  response_.emplace();
  socket_ = tcp::socket(io_);
  error_code failed;
  socket_.open(agent_.protocol(), failed);
  if (failed) {
    disconnect({Reason::kConnectionFailed, failed.message()});
    return;
  }
  receive_limit_.apply(socket_, intake_.read_scope(now));
  connect_socket(socket_, agent_, [this, generation](error_code ec) {
    if (generation != connection_generation_) {
      return;
    }
    if (ec) {
      disconnect({Reason::kConnectionFailed, ec.message()});
    } else {
      send_request(generation);
    }
  });
}

// A connection with a receive limit requests changes even if a complete list is needed, because
// only the complete lists may be failing while changes can still be accepted.
void DiscoveryClient::send_request(Generation generation) {
  request_ = "GET /catalog/members?watch=1";
  if (!agent_changed_ && (!request_complete_list_ || receive_limit_.is_limited())) {
    request_ += "&after=" + std::to_string(revision_);
  }
  request_ += " HTTP/1.1\r\nHost: " + agent_.address().to_string() + "\r\n\r\n";
  const auto is_current = [this, generation] { return generation == connection_generation_; };
  send_all(socket_, request_, is_current, [this](error_code ec, std::size_t /*sent*/) {
    if (ec) {
      disconnect({Reason::kConnectionFailed, ec.message()});
    }
  });
  read(generation);
}

void DiscoveryClient::read(Generation generation) {
  const std::size_t max_bytes = receive_limit_.is_limited()
                                    ? std::min(limits_.probe_bytes, read_buffer_.size())
                                    : read_buffer_.size();
  socket_.async_read_some(asio::buffer(read_buffer_, max_bytes),
                          [this, generation](error_code ec, std::size_t size) {
                            if (generation != connection_generation_) {
                              return;
                            }
                            if (ec) {
                              disconnect({Reason::kConnectionFailed, ec.message()});
                              return;
                            }
                            const bool is_read = run_and_log_exceptions("discovery", [&] {
                              on_read(size);
                              if (generation == connection_generation_) {
                                read(generation);
                              }
                            });
                            if (!is_read && generation == connection_generation_) {
                              disconnect({Reason::kConnectionFailed, ""});
                            }
                          });
}

void DiscoveryClient::on_read(std::size_t size) {
  liveness_.on_received(clock_.now());
  try {
    on_bytes({read_buffer_.data(), size});
  } catch (const WatchResponseError& e) {
    disconnect({e.reason(), e.what()});
  } catch (const EndpointListTooLarge& e) {
    disconnect({Reason::kListTooLarge, e.what()});
  } catch (const std::exception& e) {
    disconnect({Reason::kInvalidResponse, e.what()});
  }
}

// ---- Response

void DiscoveryClient::on_bytes(std::string_view bytes) {
  response_->consume(bytes);
  if (!response_->is_header_done()) {
    return;
  }
  if (response_->status() != kStatusOk) {
    on_request_rejected();
  }
  callbacks_.on_response();
  on_body(response_->take_body());
  if (response_->unparsed_bytes() > kMaxUnparsedBytes) {
    throw WatchResponseError(Reason::kInvalidResponse, "the response is not HTTP");
  }
  if (intake_.is_in_progress()) {
    on_list_progress(bytes.size());
  }
  if (response_->is_done()) {
    disconnect({Reason::kWatchEnded, "the agent ended the watch"});
  }
}

// Where lists are polled, adds a random backoff to Retry-After, because many gateways receive the
// same value and would otherwise all return at the same time. An agent that pushes lists has no
// request queue to protect, so its Retry-After is ignored and the reconnect backoff applies.
void DiscoveryClient::on_request_rejected() {
  if (mode_ == WatchMode::kPolled) {
    const Micros wait = response_->retry_after() + rejection_backoff_.next();
    rejection_wait_ = wait > 0 ? std::optional(wait) : std::nullopt;
  }
  throw WatchResponseError(Reason::kRequestRejected,
                           "status " + std::to_string(response_->status()));
}

// The end of a list is found by its closing bracket and not by a line feed, because the JSON text
// may be indented.
void DiscoveryClient::on_body(std::string_view piece) {
  while (!piece.empty()) {
    if (!intake_.is_in_progress()) {
      if (skip_separator(piece.front())) {
        piece.remove_prefix(1);
        continue;
      }
      if (piece.front() != '{') {
        throw WatchResponseError(Reason::kInvalidResponse, "the response is not an endpoint list");
      }
      intake_.begin(clock_.now());
    }
    piece.remove_prefix(intake_.consume(piece));
    if (intake_.is_complete()) {
      on_list();
    } else if (intake_.enforce_read_scope()) {
      receive_limit_.lift(socket_);
    }
  }
}

// Returns whether the byte between two lists is white space. Discovery sends an empty line as a
// heartbeat, so a line feed shows that the watch is healthy.
bool DiscoveryClient::skip_separator(char byte) {
  if (byte == '\n') {
    on_healthy();
  }
  return is_json_whitespace(byte);
}

void DiscoveryClient::on_list() {
  on_healthy();
  EndpointList list = intake_.finish();
  receive_limit_.lift(socket_);
  revision_ = list.revision;
  request_complete_list_ = false;
  if (list.complete) {
    agent_changed_ = false;
  }
  callbacks_.on_update(std::move(list));
}

void DiscoveryClient::on_list_progress(std::size_t size) {
  const Micros now = clock_.now();
  const bool is_first = intake_.on_progress(size, now);
  if (is_first) {
    check_list_deadline(connection_generation_, intake_.begun_count(), now);
  }
}

void DiscoveryClient::on_healthy() {
  reconnect_backoff_.reset();
  rejection_backoff_.reset();
  outage_log_.on_healthy(clock_.now());
}

// ---- Liveness

void DiscoveryClient::check_silence(Generation generation, Micros due) {
  if (generation != connection_generation_ || due != silence_check_at_) {
    return;
  }
  const std::optional<Micros> next = liveness_.check(clock_.now(), due);
  if (!next) {
    disconnect({Reason::kSilent, "the watch is silent"});
    return;
  }
  silence_check_at_ = *next;
  timers_.at(*next, [this, generation, next = *next] { check_silence(generation, next); });
}

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
    disconnect({Reason::kListUnfinished, "the list stopped or came too slowly"});
    return;
  }
  timers_.at(deadline, [this, generation, list_number, deadline] {
    check_list_deadline(generation, list_number, deadline);
  });
}

// ---- Disconnection

void DiscoveryClient::disconnect(const WatchDisconnect& cause) {
  error_code ignored;
  socket_.close(ignored);
  const Generation generation = ++connection_generation_;
  request_complete_list_ = request_complete_list_ || needs_complete_list(cause.reason);
  const Micros now = clock_.now();
  const Micros wait = reconnect_wait(cause, now);
  reconnect_at_ = now + wait;
  outage_log_.on_disconnected(cause, revision_, now);
  timers_.after(wait, [this, generation] {
    if (generation == connection_generation_) {
      connect();
    }
  });
}

Micros DiscoveryClient::reconnect_wait(const WatchDisconnect& cause, Micros now) {
  if (rejection_wait_) {
    return *std::exchange(rejection_wait_, std::nullopt);
  }
  return intake_.is_in_progress() ? reject_list(cause, now) : reconnect_backoff_.next();
}

// Rejects the list in progress and returns the time until the next request.
Micros DiscoveryClient::reject_list(const WatchDisconnect& cause, Micros now) {
  const ListIntake::Rejection rejection = intake_.reject(list_failure(cause.reason), now);
  if (!rejection.retry_wait) {
    return reconnect_backoff_.next();
  }
  if (!rejection.was_probe) {
    outage_log_.on_list_rejected(rejection, cause, revision_, *rejection.retry_wait, now);
  }
  return *rejection.retry_wait;
}

}  // namespace quota_gateway::net
