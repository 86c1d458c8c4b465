#include "net/server/request_dispatcher.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <string>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

// A client's timeout runs from the time when it sends the request, and the response takes time to
// reach the client. The gateway's deadline is therefore earlier than the client's by this time, or
// by this share of the client's timeout if that is less.
constexpr Micros kNetworkAllowance = 20'000;
constexpr double kMaxNetworkAllowanceShare = 0.1;

Micros time_limit_for(Micros client_timeout) {
  const auto max_allowance = Micros(kMaxNetworkAllowanceShare * double(client_timeout));
  return client_timeout - std::min(kNetworkAllowance, max_allowance);
}

}  // namespace

RequestDispatcher::RequestDispatcher(EventLoop loop, Collaborators collaborators)
    : loop_(loop),
      settings_(collaborators.settings),
      requests_(collaborators.requests),
      pool_(collaborators.pool),
      clients_(collaborators.clients),
      events_(collaborators.events),
      stats_(collaborators.stats),
      finisher_(collaborators.finisher),
      reporter_(collaborators.reporter),
      deadlines_(collaborators.deadlines),
      streamer_(collaborators.streamer),
      guard_(collaborators.guard),
      endpoint_lists_(collaborators.endpoint_lists) {}

// ---- From the client connections

std::optional<std::uint64_t> RequestDispatcher::on_client_request(ClientId client,
                                                                  ClientRequest accepted) {
  const auto added = requests_.add(accepted.forwarded.trace_id);
  if (!added) {
    return std::nullopt;
  }
  const std::uint64_t id = added->id;
  if (!run_and_log_exceptions("request",
                              [&] { accept(id, added->request, client, std::move(accepted)); })) {
    boost::asio::post(loop_.io, [this, id] { end_undecided(std::to_string(id)); });
  }
  return id;
}

void RequestDispatcher::accept(std::uint64_t id, Request& request, ClientId client,
                               ClientRequest accepted) {
  const Micros now = loop_.clock.now();
  RequestArrived& arrived = accepted.arrived;
  request.client = client;
  request.read_at = now;
  request.timeline.add(RequestStep::kReceived, now);
  request.idempotent = accepted.idempotent;
  request.may_run_again = accepted.may_run_again;
  request.response_counts = &stats_.on_request_started(arrived.request_class);
  request.time_limit = time_limit_for(accepted.timeout);
  request.body_complete = accepted.forwarded.body_complete;
  // The rest of a body that is incomplete is still to come; its last byte starts the time anew.
  const Micros received_at = request.body_complete ? accepted.received_at : now;
  request.deadline = deadlines_.limit(received_at + request.time_limit);
  request.body_arrived = request.body_complete;
  request.forwarded = std::move(accepted.forwarded);
  // The gateway assigns an id of its own, since two clients may use the same one.
  arrived.id = std::to_string(id);
  arrived.deadline = request.deadline;
  arrived.body_pending = !request.body_complete;
  if (request.deadline <= now) {
    return boost::asio::post(loop_.io, [this, id] { reject_overdue(id); });
  }
  if (request.body_complete) {
    deadlines_.schedule_decision_check(request, id, request.deadline);
  }
  if (endpoint_lists_.requests_must_wait()) {
    held_for_endpoint_list_.push_back({id, std::move(arrived)});
  } else {
    events_.push(std::move(arrived));
  }
}

// The request waited behind another one on its connection, or the process is about to end. It never
// reaches the decision module, and no quota is charged for it.
void RequestDispatcher::reject_overdue(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  ClientResponse rejection;
  rejection.status = int(http::status::service_unavailable);
  finisher_.answer(entry->second, rejection);
  requests_.remove_if_done(entry);
}

void RequestDispatcher::on_client_disconnect(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  if (!request.finished) {
    request.timeline.add(RequestStep::kClientLeft, loop_.clock.now());
  }
  if (!finisher_.try_finish(request, RequestOutcome::kError)) {
    return;
  }
  // For the decision module the request ended when its response began.
  if (!request.response_started) {
    events_.push(ClientDisconnected{std::to_string(id)});
  }
  requests_.remove_if_done(entry);
  reporter_.end_undelivered_attempt(id);
}

void RequestDispatcher::release_held_requests() {
  for (HeldRequest& held : std::exchange(held_for_endpoint_list_, {})) {
    if (requests_.contains(held.id)) {
      events_.push(std::move(held.arrived));
    }
  }
}

// ---- From the server connections and the deadlines

void RequestDispatcher::on_attempt_complete(AttemptKey key, AttemptResult result) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  if (request.response_started && key.attempt == request.latest_attempt()) {
    streamer_.finish_response(request, key, result);
    return;
  }
  if (!request.attempt(key.attempt).in_flight) {
    return;
  }
  if (result.outcome == Outcome::kOk) {
    ClientResponse success;
    success.status = int(http::status::ok);
    success.body = std::move(result.body);
    finisher_.answer(request, success);
  } else {
    streamer_.on_attempt_failed(request);
  }
  reporter_.report_complete(entry, key, result);
}

bool RequestDispatcher::may_begin_attempt(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end() || entry->second.finished) {
    return false;
  }
  Request& request = entry->second;
  if (!guard_.may_begin(request, key) || !clients_.check_connected(request.client)) {
    return false;
  }
  request.timeline.add(RequestStep::kAttemptBegun, loop_.clock.now());
  return true;
}

void RequestDispatcher::on_attempt_written(AttemptKey key) {
  stats_.on_attempt_written();
  const auto entry = requests_.find(key.request);
  if (entry != requests_.end()) {
    entry->second.may_have_run = true;
    entry->second.timeline.add(RequestStep::kAttemptWritten, loop_.clock.now());
  }
  streamer_.on_request_written(key);
}

// ---- Actions of the decision module

void RequestDispatcher::send_attempt(const SendAttempt& action) {
  const auto entry = requests_.find(action.id);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  const Micros now = loop_.clock.now();
  const Micros deadline =
      action.timeout == 0 ? request.deadline : std::min(request.deadline, now + action.timeout);
  const AttemptKey key{entry->first, int(request.attempts.size())};
  Attempt& attempt = request.attempts.emplace_back();
  attempt.endpoint = action.server;
  attempt.sent_at = now;
  ++request.attempts_in_flight;
  request.timeline.add(RequestStep::kAttemptSent, now, key.attempt);
  if (deadline <= now || !may_send(request)) {
    boost::asio::post(loop_.io, [this, key] {
      on_attempt_complete(key, result_without_response(Outcome::kNotSent));
    });
    return;
  }
  attempt.time_limit = deadline - now;
  attempt.deadline = deadline;
  deadlines_.schedule_attempt_expiry(attempt, key, deadline);
  const AttemptTimes times{.deadline = deadline,
                           .write_before = action.write_before,
                           .max_write_stall = request.time_limit + kMaxAnswerDelay};
  attempt.handle = pool_.send(key, action.server, request.forwarded, times);
}

// The client may have disconnected since the events behind this action were reported, and a request
// never has two attempts in flight at the same time.
bool RequestDispatcher::may_send(const Request& request) const {
  return !request.finished && !request.body_forwarded && request.attempts_in_flight == 1 &&
         int(request.attempts.size()) <= settings_.max_attempts;
}

void RequestDispatcher::cancel_attempt(const CancelAttempt& action) {
  const auto entry = requests_.find(action.id);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  if (action.attempt < 0 || action.attempt > request.latest_attempt() ||
      !request.attempt(action.attempt).in_flight) {
    return;
  }
  AttemptHandle& handle = request.attempt(action.attempt).handle;
  if (!request.finished && handle.deliver_started()) {
    return;
  }
  const AttemptKey key{entry->first, action.attempt};
  const bool written = handle.abandon();
  on_attempt_complete(key,
                      result_without_response(written ? Outcome::kCancelled : Outcome::kNotSent));
}

void RequestDispatcher::reject(const Reject& action) {
  const auto entry = requests_.find(action.id);
  if (entry == requests_.end()) {
    return;
  }
  ClientResponse rejection;
  const auto status = entry->second.attempts.empty() ? http::status::too_many_requests
                                                     : http::status::service_unavailable;
  rejection.status = int(status);
  if (action.retry_after.value_or(0) > 0) {
    rejection.retry_after = action.retry_after;
  }
  finisher_.answer(entry->second, rejection);
  requests_.remove_if_done(entry);
}

void RequestDispatcher::end_undecided(const std::string& id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished || entry->second.response_started) {
    return;
  }
  Request& request = entry->second;
  if (request.attempts_in_flight > 0 &&
      request.attempt(request.latest_attempt()).handle.has_connection()) {
    return;
  }
  ClientResponse response;
  response.status =
      int(request.may_have_run ? http::status::bad_gateway : http::status::service_unavailable);
  request.attempts_in_flight = 0;
  for (Attempt& attempt : request.attempts) {
    attempt.in_flight = false;
  }
  finisher_.answer(request, response);
  requests_.remove_if_done(entry);
  events_.push(ClientDisconnected{id});
}

void RequestDispatcher::fail(const Fail& action) {
  const auto entry = requests_.find(action.id);
  if (entry != requests_.end()) {
    finisher_.fail(entry);
  }
}

}  // namespace quota_gateway::net
