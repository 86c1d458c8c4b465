#include "net/server/request_dispatcher.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

namespace quota_gateway::net {
namespace {

// A client's time runs from its send, and the answer needs time to travel too. So our deadline is
// earlier than the client's by this, or by this share of the client's time if that is less.
constexpr Micros kNetworkAllowance = 20'000;
constexpr double kMaxNetworkAllowanceShare = 0.1;

Micros time_limit_for(Micros client_timeout) {
  return client_timeout -
         std::min(kNetworkAllowance, Micros(kMaxNetworkAllowanceShare * double(client_timeout)));
}

// Of an attempt that has no response.
AttemptResult attempt_result(Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

RequestOutcome outcome_of(int status) {
  switch (status) {
    case 200:
      return RequestOutcome::kSuccess;
    case 429:
    case 503:
      return RequestOutcome::kOverload;
    default:
      return RequestOutcome::kError;
  }
}

}  // namespace

RequestDispatcher::RequestDispatcher(EventLoop loop, Collaborators collaborators)
    : loop_(loop),
      settings_(collaborators.settings),
      pool_(collaborators.pool),
      clients_(collaborators.clients),
      events_(collaborators.events),
      stats_(collaborators.stats),
      endpoint_lists_(collaborators.endpoint_lists) {}

// ---- From the client connections

std::optional<std::uint64_t> RequestDispatcher::on_client_request(ClientId client,
                                                                  ClientRequest accepted) {
  const auto added = requests_.add(accepted.forwarded.trace_id);
  if (!added) {
    return std::nullopt;
  }
  const std::uint64_t id = added->id;
  const Micros now = loop_.clock.now();
  RequestArrived& arrived = accepted.arrived;
  Request& request = added->request;
  request.client = client;
  request.response_counts = &stats_.on_request_started(arrived.request_class);
  request.time_limit = time_limit_for(accepted.timeout);
  request.deadline = limit_deadline(now + request.time_limit);
  request.body_complete = accepted.forwarded.body_complete;
  request.forwarded = std::move(accepted.forwarded);
  // Our own id, since two clients may use the same.
  arrived.id = std::to_string(id);
  arrived.deadline = request.deadline;
  arrived.body_pending = !request.body_complete;
  if (request.body_complete) {
    schedule_decision_check(id, request.deadline);
  }
  if (endpoint_lists_.requests_must_wait()) {
    held_for_endpoint_list_.push_back({id, std::move(arrived)});
  } else {
    events_.push(std::move(arrived));
  }
  return id;
}

void RequestDispatcher::on_client_disconnect(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  if (!try_finish(request, RequestOutcome::kError)) {
    return;
  }
  if (request.response_started) {
    // For the decision module the request ended when its response began.
    pool_.abandon({id, request.latest_attempt()});
  } else {
    events_.push(ClientDisconnected{std::to_string(id)});
  }
  requests_.remove_if_done(entry);
}

void RequestDispatcher::on_body_piece(std::uint64_t id, const std::string& piece, bool last) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished) {
    return;
  }
  Request& request = entry->second;
  request.body_forwarded = true;
  request.body_complete = last;
  if (last) {
    request.deadline = limit_deadline(loop_.clock.now() + request.time_limit);
    schedule_decision_check(id, request.deadline);
  }
  pool_.send_body_piece({id, request.latest_attempt()}, piece, last);
}

void RequestDispatcher::on_response_piece_sent(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry != requests_.end()) {
    pool_.resume({id, entry->second.latest_attempt()});
  }
}

void RequestDispatcher::release_held_requests() {
  for (HeldRequest& held : std::exchange(held_for_endpoint_list_, {})) {
    if (requests_.contains(held.id)) {
      events_.push(std::move(held.arrived));
    }
  }
}

// ---- From the server connections

void RequestDispatcher::on_attempt_complete(AttemptKey key, AttemptResult result) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  if (request.response_started && key.attempt == request.latest_attempt()) {
    finish_response(request, key, result);
    return;
  }
  if (!request.attempt(key.attempt).in_flight) {
    return;
  }
  if (result.outcome == Outcome::kOk) {
    ClientResponse success;
    success.status = 200;
    success.body = std::move(result.body);
    answer(request, std::move(success));
  }
  complete_attempt(entry, key, result);
}

// Reports the attempt's end to the decision module.
void RequestDispatcher::complete_attempt(Iterator entry, AttemptKey key,
                                         const AttemptResult& result) {
  Request& request = entry->second;
  Attempt& attempt = request.attempt(key.attempt);
  attempt.in_flight = false;
  --request.attempts_in_flight;
  request.last_attempt_timed_out = result.outcome == Outcome::kTimeout;
  AttemptCompleted completed;
  completed.id = std::to_string(key.request);
  completed.attempt = key.attempt;
  completed.server = attempt.endpoint;
  completed.outcome = result.outcome;
  // A long body that comes slowly, or a response that trickles in, keeps its server no longer than
  // others. Counted as the server's work it would look like a fleet with too much in flight.
  const Micros ended_at = result.first_byte_at ? *result.first_byte_at : loop_.clock.now();
  completed.duration = ended_at - attempt.sent_at;
  completed.load = result.load;
  completed.billed_units = result.billed_units;
  completed.quota_usage_percent = result.quota_usage_percent;
  completed.request_answered = request.finished || request.response_started;
  events_.push(std::move(completed));
  requests_.remove_if_done(entry);
}

void RequestDispatcher::on_attempt_written(AttemptKey key) {
  stats_.on_attempt_written();
  const auto entry = requests_.find(key.request);
  // The time of a long body runs from here on; that of others has run since they were sent.
  if (entry == requests_.end() || !entry->second.body_forwarded) {
    return;
  }
  Attempt& attempt = entry->second.attempt(key.attempt);
  attempt.sent_at = loop_.clock.now();
  attempt.deadline = limit_deadline(attempt.sent_at + attempt.time_limit);
  loop_.timers.at(attempt.deadline, [this, key] { expire_attempt(key); });
  events_.push(AttemptWritten{std::to_string(key.request), key.attempt});
}

void RequestDispatcher::on_body_piece_written(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  if (entry != requests_.end()) {
    clients_.request_body_piece(entry->second.client);
  }
}

// For the decision module the attempt has ended well: its server has done the work, and nothing is
// left to decide.
void RequestDispatcher::on_response_started(AttemptKey key, AttemptResult result,
                                            std::optional<std::uint64_t> length) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end() || !entry->second.attempt(key.attempt).in_flight) {
    return;
  }
  Request& request = entry->second;
  request.response_started = true;
  complete_attempt(entry, key, result);
  clients_.begin_response(request.client, length, result.body);
}

void RequestDispatcher::on_response_piece(AttemptKey key, std::string piece) {
  const auto entry = requests_.find(key.request);
  if (entry != requests_.end()) {
    clients_.send_body_piece(entry->second.client, std::move(piece));
  }
}

// The end of a response that passed piece by piece.
void RequestDispatcher::finish_response(Request& request, AttemptKey key,
                                        const AttemptResult& result) {
  const bool complete = result.outcome == Outcome::kOk;
  if (!try_finish(request, complete ? RequestOutcome::kSuccess : RequestOutcome::kError)) {
    return;
  }
  if (complete) {
    clients_.finish_response(request.client);
  } else {
    clients_.abort_response(request.client);
    events_.push(ResponseAborted{request.attempt(key.attempt).endpoint});
  }
  requests_.remove_if_done(requests_.find(key.request));
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
  // The client may have left since the events were handed over, and two attempts are never in
  // flight at once.
  if (request.finished || request.body_forwarded || deadline <= now ||
      request.attempts_in_flight > 1 || int(request.attempts.size()) > settings_.max_attempts) {
    boost::asio::post(loop_.io,
                      [this, key] { on_attempt_complete(key, attempt_result(Outcome::kNotSent)); });
    return;
  }
  attempt.time_limit = deadline - now;
  attempt.deadline = deadline;
  loop_.timers.at(deadline, [this, key] { expire_attempt(key); });
  pool_.send(key, action.server, request.forwarded, deadline);
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
  const AttemptKey key{entry->first, action.attempt};
  const bool written = pool_.abandon(key);
  on_attempt_complete(key, attempt_result(written ? Outcome::kCancelled : Outcome::kNotSent));
}

void RequestDispatcher::reject(const Reject& action) {
  const auto entry = requests_.find(action.id);
  if (entry == requests_.end()) {
    return;
  }
  ClientResponse rejection;
  rejection.status = entry->second.attempts.empty() ? 429 : 503;
  if (action.retry_after.value_or(0) > 0) {
    rejection.retry_after = action.retry_after;
  }
  answer(entry->second, std::move(rejection));
  requests_.remove_if_done(entry);
}

void RequestDispatcher::fail(const Fail& action) {
  const auto entry = requests_.find(action.id);
  if (entry != requests_.end()) {
    fail(entry);
  }
}

void RequestDispatcher::fail(Iterator entry) {
  ClientResponse failure;
  failure.status = entry->second.last_attempt_timed_out ? 504 : 502;
  answer(entry->second, std::move(failure));
  requests_.remove_if_done(entry);
}

// ---- Deadlines

void RequestDispatcher::expire_attempt(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  const Attempt& attempt = request.attempt(key.attempt);
  if (!attempt.in_flight) {
    return;
  }
  // The time of a long body runs once all of it has been written.
  if (!request.body_complete || loop_.clock.now() < attempt.deadline) {
    return;
  }
  const bool written = pool_.abandon(key);
  on_attempt_complete(key, attempt_result(written ? Outcome::kTimeout : Outcome::kConnectFailed));
}

void RequestDispatcher::schedule_decision_check(std::uint64_t id, Micros deadline) {
  loop_.timers.at(deadline + kDecisionGrace, [this, id] { fail_without_decision(id); });
}

// A request must not go unanswered, whatever the decision module does.
void RequestDispatcher::fail_without_decision(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished || entry->second.response_started) {
    return;
  }
  std::cerr << "request " << id << " failed: no decision by its deadline\n";
  entry->second.last_attempt_timed_out = true;
  fail(entry);
  events_.push(ClientDisconnected{std::to_string(id)});
}

Micros RequestDispatcher::limit_deadline(Micros deadline) const {
  return latest_deadline_ ? std::min(deadline, *latest_deadline_) : deadline;
}

// ---- Answers

void RequestDispatcher::answer(Request& request, ClientResponse answer) {
  if (try_finish(request, outcome_of(answer.status))) {
    clients_.respond(request.client, answer);
  }
}

bool RequestDispatcher::try_finish(Request& request, RequestOutcome outcome) {
  if (request.finished) {
    return false;
  }
  request.finished = true;
  stats_.on_request_finished(*request.response_counts, outcome);
  return true;
}

// ---- For the shutdown

void RequestDispatcher::limit_deadlines(Micros latest) {
  latest_deadline_ = latest;
}

void RequestDispatcher::expire_attempts() {
  std::vector<AttemptKey> in_flight;
  for (auto& [id, request] : requests_) {
    request.deadline = limit_deadline(request.deadline);
    for (int index = 0; index <= request.latest_attempt(); ++index) {
      Attempt& attempt = request.attempt(index);
      if (attempt.in_flight) {
        attempt.deadline = limit_deadline(attempt.deadline);
        in_flight.push_back({id, index});
      }
    }
  }
  for (const AttemptKey& key : in_flight) {
    expire_attempt(key);
  }
}

void RequestDispatcher::fail_unfinished_requests() {
  std::vector<std::uint64_t> unfinished;
  for (const auto& [id, request] : requests_) {
    if (!request.finished) {
      unfinished.push_back(id);
    }
  }
  for (const std::uint64_t id : unfinished) {
    const auto entry = requests_.find(id);
    if (entry == requests_.end()) {
      continue;
    }
    if (entry->second.response_started) {
      clients_.abort_response(entry->second.client);
    } else {
      fail_without_decision(id);
    }
  }
}

}  // namespace quota_gateway::net
