#include "support/audited_traffic.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "support/http_messages.hpp"

namespace quota_gateway::net::testing {
namespace {

using Clock = std::chrono::steady_clock;

// A request without a response is lost this long after its time.
constexpr milliseconds kMaxDelay{500};
// An attempt may begin this long after the client has left or has its response.
constexpr milliseconds kMaxLateAttempt{100};
constexpr milliseconds kRetryDelay{50};

milliseconds since(SteadyTime time) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - time);
}

}  // namespace

// ---- The event loop

LoopLag::LoopLag(asio::io_context& io) : timer_(io) {
  measure();
}

void LoopLag::measure() {
  constexpr milliseconds kInterval{10};
  constexpr int kMeasurements = 100;
  if (measurements_++ % kMeasurements == 0) {
    previous_ = std::exchange(current_, milliseconds(0));
  }
  due_ = Clock::now() + kInterval;
  timer_.expires_at(due_);
  timer_.async_wait([this](error_code ec) {
    if (!ec) {
      current_ = std::max(current_, since(due_));
      measure();
    }
  });
}

milliseconds LoopLag::overdue() const {
  return std::max(milliseconds(0), since(due_));
}

// ---- The audit

std::string RequestAudit::add(int gateway) {
  std::string id = "r" + std::to_string(requests_.size());
  requests_.emplace(id, AuditedRequest{.gateway = gateway});
  return id;
}

std::string RequestAudit::body_of(const std::string& id) {
  constexpr std::size_t kLongBody = 20'000;
  constexpr std::size_t kShortBody = 300;
  const std::size_t hash = std::hash<std::string>()(id);
  return id + std::string(hash % 4 == 0 ? kLongBody : kShortBody, char('a' + hash % 26));
}

void RequestAudit::on_attempt(const std::string& id, int server) {
  AuditedRequest& request = requests_.at(id);
  request.server = server;
  ++request.attempts;
  if (request.ended_at && since(*request.ended_at) > kMaxLateAttempt + lag()) {
    on_lost(id, "an attempt begins " + std::to_string(since(*request.ended_at).count()) +
                    " ms after its end; the test's loop is late by " +
                    std::to_string(lag_.overdue().count()) + " ms");
  }
}

void RequestAudit::on_run(const std::string& id, bool is_idempotent) {
  AuditedRequest& request = requests_.at(id);
  if (++request.runs > 1 && !is_idempotent) {
    on_lost(id, "runs again and is not idempotent");
  }
}

void RequestAudit::on_response(const std::string& id, int status, const std::string& body) {
  requests_.at(id).ended_at = Clock::now();
  ++answered_;
  if (status == int(http::status::ok)) {
    ++served_;
    if (body != body_of(id)) {
      on_lost(id, "wrong body: " + body.substr(0, 20));
      on_foreign_response(requests_.at(id), body);
    }
  }
}

// A body begins with the id of its request, which ends before the first letter behind its number.
void RequestAudit::on_foreign_response(const AuditedRequest& request, const std::string& body) {
  const std::string id = body.substr(0, body.find_first_not_of("0123456789", 1));
  const auto answered = requests_.find(id);
  if (answered != requests_.end()) {
    ++foreign_responses_[{answered->second.server, request.gateway}];
  }
}

int RequestAudit::most_foreign_responses() const {
  int most = 0;
  for (const auto& [server_and_gateway, responses] : foreign_responses_) {
    most = std::max(most, responses);
  }
  return most;
}

void RequestAudit::on_left(const std::string& id) {
  requests_.at(id).ended_at = Clock::now();
}

void RequestAudit::on_lost(const std::string& id, const std::string& reason) {
  AuditedRequest& request = requests_.at(id);
  ++lost_;
  failures_ += id + ": " + reason + ", " + std::to_string(request.attempts) + " attempts\n";
  request.ended_at = Clock::now();
}

// ---- Clients

AuditedClient::AuditedClient(asio::io_context& io, RequestAudit& audit, const GatewayState& gateway,
                             Behavior behavior, unsigned seed)
    : io_(io),
      audit_(audit),
      gateway_(gateway),
      behavior_(behavior),
      random_(seed),
      timer_(io),
      time_check_(io) {}

void AuditedClient::schedule(milliseconds delay, void (AuditedClient::*step)()) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, step, self = shared_from_this(), number = ++scheduled_steps_](error_code ec) {
        if (!ec && number == scheduled_steps_) {
          (this->*step)();
        }
      });
}

void AuditedClient::next_exchange() {
  if (is_stopped_) {
    return disconnect();
  }
  socket_ ? send_requests() : connect();
}

void AuditedClient::connect() {
  if (!gateway_.is_accepting) {
    return schedule(kRetryDelay, &AuditedClient::next_exchange);
  }
  socket_ = std::make_shared<tcp::socket>(io_);
  buffer_.clear();
  responses_on_connection_ = 0;
  kills_at_connect_ = gateway_.kills;
  socket_->async_connect({asio::ip::address_v4::loopback(), gateway_.port},
                         [this, self = shared_from_this()](error_code ec) {
                           if (!ec) {
                             return next_exchange();
                           }
                           disconnect();
                           schedule(kRetryDelay, &AuditedClient::next_exchange);
                         });
}

std::string AuditedClient::add_request() {
  constexpr int kMinTimeout = 150;  // ms
  const int timeout = kMinTimeout + draw(int(behavior_.max_timeout.count()) - kMinTimeout);
  const std::string id = audit_.add(gateway_.number);
  pending_.push_back({id, milliseconds(timeout), Clock::now() + milliseconds(timeout) + kMaxDelay});
  const std::string time = std::to_string(timeout) + "m";
  if (draw(2) == 0) {
    return post_request(id, time);
  }
  const std::string default_time = "4000m";
  std::string text = get_request(id);
  return text.replace(text.find(default_time), default_time.size(), time);
}

void AuditedClient::send_requests() {
  constexpr int kMaxAtOnce = 4;
  output_.clear();
  const int count = behavior_.sends_several ? 1 + draw(kMaxAtOnce) : 1;
  for (int i = 0; i < count; ++i) {
    output_ += add_request();
  }
  asio::async_write(*socket_, asio::buffer(output_),
                    [self = shared_from_this(), socket = socket_](error_code, std::size_t) {});
  read_response();
  check_time();
  constexpr int kLeaveEvery = 4;
  constexpr int kMaxStay = 150;  // ms
  if (behavior_.leaves && draw(kLeaveEvery) == 0) {
    schedule(milliseconds(draw(kMaxStay)), &AuditedClient::leave);
  }
}

void AuditedClient::read_response() {
  parser_.emplace();
  http::async_read(*socket_, buffer_, *parser_,
                   [this, self = shared_from_this(), socket = socket_](error_code ec, std::size_t) {
                     if (socket != socket_) {
                       return;
                     }
                     ec ? on_disconnected() : on_response();
                   });
}

void AuditedClient::on_response() {
  const auto& response = parser_->get();
  audit_.on_response(pending_.front().id, int(response.result_int()), response.body());
  pending_.pop_front();
  ++responses_on_connection_;
  const bool is_kept = response.keep_alive();
  if (is_kept && !pending_.empty()) {
    return read_response();
  }
  cancel_step();
  if (!is_kept) {
    on_disconnected();
    return;
  }
  const auto max_pause = int(behavior_.max_pause.count());
  schedule(milliseconds(draw(max_pause)), &AuditedClient::next_exchange);
}

// Requests that cross the end of a used connection may not have been read; their client would send
// them once more.
void AuditedClient::on_disconnected() {
  const bool was_killed = gateway_.kills != kills_at_connect_;
  const bool is_begun = parser_->got_some() && !parser_->is_done();
  for (const Pending& pending : std::exchange(pending_, {})) {
    const bool is_forwarded = audit_.was_forwarded(pending.id);
    const bool may_be_unread = responses_on_connection_ > 0 && !is_forwarded && !is_begun;
    const bool may_be_broken = gateway_.breaks_responses && is_begun;
    if (was_killed || may_be_unread || may_be_broken) {
      audit_.on_left(pending.id);
    } else {
      audit_.on_lost(pending.id, is_begun ? "the response is cut off" : "the connection ends");
    }
  }
  disconnect();
  schedule(kRetryDelay, &AuditedClient::next_exchange);
}

void AuditedClient::check_time() {
  constexpr milliseconds kInterval{20};
  if (pending_.empty() || !socket_) {
    return;
  }
  error_code ignored;
  const bool is_late = Clock::now() > pending_.front().answer_by + audit_.lag();
  if (is_late && socket_->available(ignored) == 0) {
    audit_.on_lost(pending_.front().id, "no response in time, " +
                                            std::to_string(pending_.front().timeout.count()) +
                                            " ms; " + std::to_string(responses_on_connection_) +
                                            " responses before it on its connection, " +
                                            std::to_string(pending_.size() - 1) + " behind it");
    pending_.pop_front();
    return leave();
  }
  time_check_.expires_after(kInterval);
  time_check_.async_wait([this, self = shared_from_this()](error_code ec) {
    if (!ec) {
      check_time();
    }
  });
}

void AuditedClient::leave() {
  for (const Pending& pending : std::exchange(pending_, {})) {
    audit_.on_left(pending.id);
  }
  disconnect();
  schedule(kRetryDelay, &AuditedClient::next_exchange);
}

// A step that is due already may be in the queue of the event loop.
void AuditedClient::cancel_step() {
  timer_.cancel();
  ++scheduled_steps_;
}

void AuditedClient::disconnect() {
  cancel_step();
  time_check_.cancel();
  error_code ignored;
  if (socket_) {
    socket_->close(ignored);
  }
  socket_.reset();
}

// ---- Servers

AuditedServer::AuditedServer(asio::io_context& io, RequestAudit& audit, ServerBehavior behavior,
                             unsigned seed)
    : io_(io), audit_(audit), behavior_(behavior), random_(seed), server_(io) {
  server_.on_request = [this](PeerConnection& peer, const HttpRequest& request) {
    respond(peer, request);
  };
}

void AuditedServer::respond(PeerConnection& peer, const HttpRequest& request) {
  constexpr int kMaxDelayMs = 60;
  enum Fault { kHang, kReset, kError, kOverloaded, kLate, kUntilClose, kFaults };
  const std::string id(request["X-Trace-Id"]);
  audit_.on_attempt(id, behavior_.number);
  if (!holds(peer)) {
    ++rejected_connections_;
    peer.write(http_response("503 Service Unavailable", "X-Never-Ran: 1\r\nConnection: close\r\n"));
    return peer.close();
  }
  const std::string body = RequestAudit::body_of(id);
  const milliseconds delay(int(random_() % kMaxDelayMs));
  const bool is_sound = !draw(behavior_.fault_rate);
  const Fault fault = is_sound ? kFaults : Fault(random_() % kFaults);
  if (fault != kOverloaded) {
    audit_.on_run(id, request.method() == http::verb::get);
  }
  if (is_sound) {
    const std::string text = http_response("200 OK", "", body);
    write_later(peer, text, delay / 4, false);
    return write_again(peer, text, delay / 4);
  }
  switch (fault) {
    case kHang:
      return;
    case kReset:
      return peer.reset();
    case kError:
      return peer.write(http_response("500 Internal Server Error"));
    case kOverloaded:
      return peer.write(http_response("503 Service Unavailable", "X-Never-Ran: 1\r\n"));
    case kLate:
      return write_later(peer, http_response("200 OK", "", body), delay * 4, false);
    case kUntilClose:
      return write_later(peer, "HTTP/1.1 200 OK\r\n\r\n" + body, delay, true);
    case kFaults:
      return;
  }
}

// Whether the connection is one of those that the server holds. Open ones keep their place.
bool AuditedServer::holds(PeerConnection& peer) {
  if (behavior_.max_connections == 0) {
    return true;
  }
  std::erase_if(held_, [](const auto& held) { return held->closed; });
  const bool is_held = std::any_of(held_.begin(), held_.end(),
                                   [&peer](const auto& held) { return held.get() == &peer; });
  if (!is_held && held_.size() < behavior_.max_connections) {
    held_.push_back(peer.shared_from_this());
    return true;
  }
  return is_held;
}

// Sends the second response, if one is drawn, some time after the first.
void AuditedServer::write_again(PeerConnection& peer, const std::string& text, milliseconds delay) {
  if (behavior_.second_response_rate == 0 || !draw(behavior_.second_response_rate)) {
    return;
  }
  const auto max_delay = unsigned(behavior_.max_second_delay.count());
  write_later(peer, text, delay + milliseconds(random_() % (max_delay + 1)), false);
}

void AuditedServer::write_later(PeerConnection& peer, std::string text, milliseconds delay,
                                bool closes) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, peer = peer.shared_from_this(), text = std::move(text), closes](error_code) {
        peer->write(text);
        if (closes) {
          peer->close();
        }
      });
}

}  // namespace quota_gateway::net::testing
