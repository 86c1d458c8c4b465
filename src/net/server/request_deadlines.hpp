// Ends attempts and requests at their deadlines, even if the decision module does not. During a
// shutdown, moves all deadlines forward and ends the attempts and requests that remain. Owned by
// GatewayServer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "net/client/client_listener.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/attempt_reporter.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/attempt.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A request fails this long after its deadline if the decision module has not ended it. Shorter
// than the time between the request's deadline and the deadline of its client, unless that client's
// timeout is short.
constexpr Micros kDecisionGrace = 10'000;

// How long after its time a request may still be answered, less than the 0.5 s after which it
// counts as lost.
constexpr Micros kMaxAnswerDelay = 250'000;  // us

class RequestDeadlines {
 public:
  // The other modules of the server that deadlines affect. They may be constructed after this
  // object, but before the first call.
  struct Collaborators {
    const Settings& settings;
    RequestTable& requests;
    ClientListener& clients;
    EventBatcher& events;
    RequestFinisher& finisher;
    AttemptReporter& reporter;
  };
  // `on_attempt_expired` is called with the result of each attempt that is ended at its deadline;
  // it may remove the request.
  RequestDeadlines(EventLoop loop, Collaborators collaborators,
                   std::function<void(AttemptKey, AttemptResult)> on_attempt_expired);

  // Returns `deadline`, or the latest permitted deadline during a shutdown if that is earlier.
  Micros limit(Micros deadline) const;
  // Starts the time of a request with a long body, whose last byte has arrived, unless it was
  // started before. At its end the attempt in flight is ended and the request is failed, also if
  // its server has not read the body: the client has been waiting since its last byte.
  void start_time_limit(RequestTable::Iterator entry);
  // Schedules a check at `deadline`, which ends the attempt if it is still in flight and its own
  // deadline has passed. Replaces an earlier check of the attempt.
  void schedule_attempt_expiry(Attempt& attempt, AttemptKey key, Micros deadline);
  // Schedules a check kDecisionGrace after `deadline`, which fails the request if the decision
  // module has not ended it.
  void schedule_decision_check(Request& request, std::uint64_t id, Micros deadline);

  // Fails the request kMaxAnswerDelay after `end` at the latest: its client waits only until then
  // for another request, whose response must follow this one's. No effect on a response that has
  // begun.
  void limit_by_following_request(std::uint64_t id, Micros end);

  // Answers the requests whose decision check is overdue, which an exception may have prevented.
  // Returns their number.
  std::size_t resume();
  // Number of requests that were failed because the decision module had not ended them in time.
  std::uint64_t undecided() const { return undecided_; }

  // ---- For the shutdown
  // Limits every deadline that is set from now on to `latest`.
  void set_latest_deadline(Micros latest);
  // Applies that limit to the requests and attempts in progress and ends the attempts that are past
  // their deadline. The decision module decides how their requests continue.
  void expire_attempts();
  // Fails all unanswered requests and aborts responses that have begun.
  void fail_unfinished_requests();

 private:
  void expire_attempt(AttemptKey key);
  // Whether the attempt of a long upload goes on after the time of its request: the gateway has the
  // complete body, and the settings forbid to cancel attempts. Its response is dropped.
  bool must_not_be_cancelled(const Request& request) const;
  void fail_without_decision(std::uint64_t id);
  void fail_unanswered(std::uint64_t id);

  EventLoop loop_;
  const Settings& settings_;
  RequestTable& requests_;
  ClientListener& clients_;
  EventBatcher& events_;
  RequestFinisher& finisher_;
  AttemptReporter& reporter_;
  std::function<void(AttemptKey, AttemptResult)> on_attempt_expired_;
  std::uint64_t undecided_ = 0;
  std::optional<Micros> latest_deadline_;  // none: no shutdown has begun
};

}  // namespace quota_gateway::net
