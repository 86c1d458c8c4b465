#include "net/server/message_streamer.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace quota_gateway::net {

MessageStreamer::MessageStreamer(const Clock& clock, Collaborators collaborators)
    : clock_(clock),
      requests_(collaborators.requests),
      pool_(collaborators.pool),
      clients_(collaborators.clients),
      events_(collaborators.events),
      finisher_(collaborators.finisher),
      reporter_(collaborators.reporter),
      deadlines_(collaborators.deadlines),
      stats_(collaborators.stats) {}

void MessageStreamer::on_body_piece(std::uint64_t id, const std::string& piece, bool is_last) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.finished) {
    return;
  }
  Request& request = entry->second;
  request.body_forwarded = true;
  std::string().swap(request.forwarded.body);  // no other attempt can follow
  request.body_complete = is_last;
  if (is_last) {
    deadlines_.start_time_limit(entry);
  }
  pool_.send_body_piece({id, request.latest_attempt()}, piece, is_last);
}

void MessageStreamer::on_body_arrived(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry != requests_.end() && !entry->second.finished) {
    deadlines_.start_time_limit(entry);
  }
}

void MessageStreamer::on_body_piece_written(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  if (entry != requests_.end() && !entry->second.finished) {
    clients_.request_body_piece(entry->second.client);
  }
}

void MessageStreamer::on_request_written(AttemptKey key) {
  const auto entry = requests_.find(key.request);
  // The time limit of an attempt with a long body starts here, since a body that arrives slowly
  // does not occupy its server for longer than others do. With a short body it started when the
  // attempt was sent.
  if (entry == requests_.end() || !entry->second.body_forwarded) {
    return;
  }
  Request& request = entry->second;
  Attempt& attempt = request.attempt(key.attempt);
  attempt.sent_at = clock_.now();
  attempt.deadline = deadlines_.limit(attempt.sent_at + attempt.time_limit);
  if (!request.finished) {
    attempt.deadline = std::min(attempt.deadline, request.deadline);
  }
  deadlines_.schedule_attempt_expiry(attempt, key, attempt.deadline);
  events_.push(AttemptWritten{std::to_string(key.request), key.attempt});
}

void MessageStreamer::on_attempt_failed(const Request& request) {
  if (!request.body_complete && !request.finished) {
    clients_.withdraw_body_piece_request(request.client);
  }
}

// The attempt is reported to the decision module as successful at this point: its server has done
// the work, and there is nothing left to decide.
void MessageStreamer::on_response_started(AttemptKey key, const AttemptResult& result,
                                          std::optional<std::uint64_t> length) {
  const auto entry = requests_.find(key.request);
  if (entry == requests_.end() || !entry->second.attempt(key.attempt).in_flight) {
    return;
  }
  Request& request = entry->second;
  if (request.finished) {
    // The session of the client may await the response to another request by now.
    return reporter_.report_complete(entry, key, result);
  }
  request.response_started = true;
  request.timeline.add(RequestStep::kResponseStarted, clock_.now());
  // Read before the report, which removes the request if its client has disconnected.
  const ClientId client = request.client;
  reporter_.report_complete(entry, key, result);
  clients_.begin_response(client, length, result.body);
}

void MessageStreamer::on_response_piece(AttemptKey key, std::string piece) {
  const auto entry = requests_.find(key.request);
  if (entry != requests_.end() && !entry->second.finished) {
    clients_.send_body_piece(entry->second.client, std::move(piece));
  }
}

void MessageStreamer::on_response_piece_sent(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry != requests_.end()) {
    pool_.resume({id, entry->second.latest_attempt()});
  }
}

void MessageStreamer::finish_response(Request& request, AttemptKey key,
                                      const AttemptResult& result) {
  if (request.finished) {
    return;
  }
  if (result.outcome == Outcome::kOk) {
    finisher_.try_finish(request, RequestOutcome::kSuccess);
    clients_.finish_response(request.client);
  } else {
    abort_response(request, key, result.fault);
  }
  requests_.remove_if_done(requests_.find(key.request));
}

void MessageStreamer::abort_response(Request& request, AttemptKey key, ResponseFault fault) {
  const Micros now = clock_.now();
  request.timeline.add(RequestStep::kResponseFault, now, int(fault));
  request.timeline.add(RequestStep::kResponseAborted, now);
  finisher_.try_finish(request, RequestOutcome::kError);
  stats_.on_response_aborted(fault);
  clients_.abort_response(request.client);
  events_.push(ResponseAborted{request.attempt(key.attempt).endpoint});
}

}  // namespace quota_gateway::net
