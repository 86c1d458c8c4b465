#include "net/server/request_deadlines.hpp"

#include <algorithm>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace quota_gateway::net {
namespace {

// A check that is later than this does not come by itself.
constexpr Micros kOverdueAfter = 100'000;  // us

}  // namespace

RequestDeadlines::RequestDeadlines(
    EventLoop loop, Collaborators collaborators,
    std::function<void(AttemptKey, AttemptResult)> on_attempt_expired)
    : loop_(loop),
      settings_(collaborators.settings),
      requests_(collaborators.requests),
      clients_(collaborators.clients),
      events_(collaborators.events),
      finisher_(collaborators.finisher),
      reporter_(collaborators.reporter),
      on_attempt_expired_(std::move(on_attempt_expired)) {}

Micros RequestDeadlines::limit(Micros deadline) const {
  return latest_deadline_ ? std::min(deadline, *latest_deadline_) : deadline;
}

void RequestDeadlines::start_time_limit(RequestTable::Iterator entry) {
  auto& [id, request] = *entry;
  if (request.body_arrived) {
    return;
  }
  request.body_arrived = true;
  request.deadline = limit(clients_.event_loop_lag().earliest_arrival() + request.time_limit);
  schedule_decision_check(request, id, request.deadline);
  if (request.attempts_in_flight == 0) {
    return;
  }
  const AttemptKey key{id, request.latest_attempt()};
  Attempt& attempt = request.attempt(key.attempt);
  attempt.deadline = request.deadline;
  schedule_attempt_expiry(attempt, key, request.deadline);
}

void RequestDeadlines::schedule_attempt_expiry(Attempt& attempt, AttemptKey key, Micros deadline) {
  attempt.expiry = loop_.timers.cancellable_at(deadline, [this, key] { expire_attempt(key); });
}

void RequestDeadlines::schedule_decision_check(Request& request, std::uint64_t id,
                                               Micros deadline) {
  request.decision_check = loop_.timers.cancellable_at(deadline + kDecisionGrace,
                                                       [this, id] { fail_without_decision(id); });
}

void RequestDeadlines::expire_attempt(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end()) {
    return;
  }
  Request& request = entry->second;
  Attempt& attempt = request.attempt(key.attempt);
  if (!attempt.in_flight) {
    return;
  }
  // The time limit of an attempt with a long body starts once the complete body has arrived.
  if (!request.body_arrived || loop_.clock.now() < attempt.deadline) {
    return;
  }
  if (must_not_be_cancelled(request) && attempt.handle.is_being_written()) {
    return;
  }
  if (!request.finished && attempt.handle.deliver_started()) {
    return;
  }
  const bool written = attempt.handle.abandon();
  const Outcome outcome = written ? Outcome::kTimeout : Outcome::kConnectFailed;
  on_attempt_expired_(key, result_without_response(outcome));
}

bool RequestDeadlines::must_not_be_cancelled(const Request& request) const {
  return !settings_.cancellation_allowed && request.body_forwarded && request.body_complete;
}

// Every request must be answered, even if the decision module makes no decision about it.
void RequestDeadlines::fail_without_decision(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished || entry->second.response_started) {
    return;
  }
  ++undecided_;
  std::cerr << "request " << id
            << " failed: the decision module made no decision by its deadline\n";
  fail_unanswered(id);
}

void RequestDeadlines::limit_by_following_request(std::uint64_t id, Micros end) {
  const auto entry = requests_.find(id);
  const Micros latest = end + kMaxAnswerDelay;
  if (entry == requests_.end() || latest >= entry->second.deadline) {
    return;
  }
  entry->second.deadline = latest;
  entry->second.decision_check =
      loop_.timers.cancellable_at(latest, [this, id] { fail_unanswered(id); });
}

// The decision module learns of it as of a client that has left, and ends the attempt.
void RequestDeadlines::fail_unanswered(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished || entry->second.response_started) {
    return;
  }
  entry->second.last_attempt_timed_out = true;
  finisher_.fail(entry);
  events_.push(ClientDisconnected{std::to_string(id)});
  const auto remaining = requests_.find(id);
  if (remaining != requests_.end() && !must_not_be_cancelled(remaining->second)) {
    reporter_.end_undelivered_attempt(id);
  }
}

std::size_t RequestDeadlines::resume() {
  const Micros now = loop_.clock.now();
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, request] : requests_) {
    const bool is_open = !request.finished && !request.response_started && request.body_arrived;
    // One that was read after its deadline is rejected in the next turn of the event loop.
    const Micros due_at = std::max(request.deadline, request.read_at);
    if (is_open && due_at + kDecisionGrace + kOverdueAfter < now) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    fail_without_decision(id);
  }
  return overdue.size();
}

void RequestDeadlines::set_latest_deadline(Micros latest) {
  latest_deadline_ = latest;
}

void RequestDeadlines::expire_attempts() {
  std::vector<AttemptKey> in_flight;
  for (auto& [id, request] : requests_) {
    request.deadline = limit(request.deadline);
    for (int index = 0; index <= request.latest_attempt(); ++index) {
      Attempt& attempt = request.attempt(index);
      if (attempt.in_flight) {
        attempt.deadline = limit(attempt.deadline);
        in_flight.push_back({id, index});
      }
    }
  }
  for (const AttemptKey& key : in_flight) {
    expire_attempt(key);
  }
}

void RequestDeadlines::fail_unfinished_requests() {
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
