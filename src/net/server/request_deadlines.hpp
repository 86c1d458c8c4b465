// Ends attempts and requests at their deadlines, also if the decision module fails to. At a
// shutdown, brings all deadlines forward and ends what is left. Owned by GatewayServer.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "net/client/client_listener.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Past a request's deadline but before its client's: by then the decision module should have ended
// it, and it is failed without it.
constexpr Micros kDecisionGrace = 10'000;

class RequestDeadlines {
 public:
  // The other modules of the server that deadlines act on. They may be constructed later, but
  // before the first call.
  struct Collaborators {
    RequestTable& requests;
    ConnectionPool& pool;
    ClientListener& clients;
    EventBatcher& events;
    RequestFinisher& finisher;
  };
  // `on_attempt_expired` is called with the result of each attempt that ends by its deadline; it
  // may remove the request.
  RequestDeadlines(EventLoop loop, Collaborators collaborators,
                   std::function<void(AttemptKey, AttemptResult)> on_attempt_expired);

  // The time at which something with this deadline ends: earlier during a shutdown.
  Micros limit(Micros deadline) const;
  // Ends the attempt at `deadline` if it is in flight then and its own deadline has come.
  void schedule_attempt_expiry(AttemptKey key, Micros deadline);
  // Fails the request soon after `deadline` if the decision module has not ended it.
  void schedule_decision_check(std::uint64_t id, Micros deadline);

  // ---- For the shutdown
  // No deadline of a request or attempt that is set from now on is later than this.
  void limit_all(Micros latest);
  // Ends the attempts whose deadline, limited as above, has come. The decision module decides what
  // becomes of their requests.
  void expire_attempts();
  // Fails all requests that are unanswered, and breaks off responses that have begun.
  void fail_unfinished_requests();

 private:
  void expire_attempt(AttemptKey key);
  void fail_without_decision(std::uint64_t id);

  EventLoop loop_;
  RequestTable& requests_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  EventBatcher& events_;
  RequestFinisher& finisher_;
  std::function<void(AttemptKey, AttemptResult)> on_attempt_expired_;
  std::optional<Micros> latest_deadline_;  // none: no shutdown has begun
};

}  // namespace quota_gateway::net
