#include "net/server/attempt_reporter.hpp"

#include <string>
#include <utility>

namespace quota_gateway::net {

AttemptResult result_without_response(Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

namespace {

bool may_have_run(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
    case Outcome::kError:
    case Outcome::kTimeout:
    case Outcome::kReset:
    case Outcome::kCancelled:
      return true;
    case Outcome::kOverloaded:
    case Outcome::kConnectFailed:
    case Outcome::kNotSent:
      return false;
  }
  return true;
}

}  // namespace

AttemptReporter::AttemptReporter(EventLoop loop, RequestTable& requests, EventBatcher& events)
    : loop_(loop), requests_(requests), events_(events) {}

void AttemptReporter::report_complete(RequestTable::Iterator entry, AttemptKey key,
                                      const AttemptResult& result) {
  Request& request = entry->second;
  Attempt& attempt = request.attempt(key.attempt);
  attempt.in_flight = false;
  request.timeline.add(RequestStep::kAttemptEnded, loop_.clock.now(), int(result.outcome));
  if (result.fault != ResponseFault::kNone) {
    request.timeline.add(RequestStep::kResponseFault, loop_.clock.now(), int(result.fault));
  }
  --request.attempts_in_flight;
  request.is_run_possible = request.is_run_possible || may_have_run(result.outcome);
  request.last_attempt_timed_out = result.outcome == Outcome::kTimeout;
  AttemptCompleted completed;
  completed.id = std::to_string(key.request);
  completed.attempt = key.attempt;
  completed.server = attempt.endpoint;
  completed.outcome = result.outcome;
  // The duration ends at the first byte of the response: a response that arrives slowly does not
  // occupy its server for longer than others do. If the transfer counted as work of the server, the
  // fleet would seem to have too many requests in flight.
  const Micros ended_at = result.first_byte_at ? *result.first_byte_at : loop_.clock.now();
  completed.duration = ended_at - attempt.sent_at;
  completed.load = result.load;
  completed.billed_units = result.billed_units;
  completed.quota_usage_percent = result.quota_usage_percent;
  completed.request_answered = request.finished || request.response_started;
  events_.push(std::move(completed));
  requests_.remove_if_done(entry);
}

void AttemptReporter::end_undelivered_attempt(std::uint64_t request) {
  end_attempt(request, &AttemptHandle::abandon_unwritten);
  if (requests_.contains(request)) {
    loop_.timers.after(kMaxAcknowledgementTime, [this, request] {
      end_attempt(request, &AttemptHandle::abandon_undelivered);
    });
  }
}

void AttemptReporter::end_attempt(std::uint64_t request, bool (AttemptHandle::*abandon)()) {
  const auto entry = requests_.find(request);
  if (entry == requests_.end() || entry->second.attempts.empty()) {
    return;
  }
  const AttemptKey key{request, entry->second.latest_attempt()};
  Attempt& attempt = entry->second.attempt(key.attempt);
  if (attempt.in_flight && (attempt.handle.*abandon)()) {
    report_complete(entry, key, result_without_response(Outcome::kNotSent));
  }
}

}  // namespace quota_gateway::net
