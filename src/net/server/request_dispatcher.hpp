// Takes client requests through their attempts: reports what happens to them to the decision module
// and carries out what it decides. Every accepted request gets exactly one answer, by its deadline
// at the latest. Owned by GatewayServer, which connects it to the client connections, the server
// connections and the decision module's actions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/client/client_listener.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/endpoint_list_applier.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Past a request's deadline but before its client's: by then the decision module should have ended
// it, and it is failed without it.
constexpr Micros kDecisionGrace = 10'000;

class RequestDispatcher {
 public:
  // The other modules of the server that a request passes through. They may be constructed later
  // than the dispatcher, but before its first call.
  struct Collaborators {
    const Settings& settings;
    ConnectionPool& pool;
    ClientListener& clients;
    EventBatcher& events;
    GatewayStats& stats;
    const EndpointListApplier& endpoint_lists;
  };
  RequestDispatcher(EventLoop loop, Collaborators collaborators);

  // ---- From the client connections
  // Accepts a request and returns its id. None: one with this trace id is open.
  std::optional<std::uint64_t> on_client_request(ClientId client, ClientRequest accepted);
  void on_client_disconnect(std::uint64_t id);
  // A further piece of a long body; `last`: the body is complete.
  void on_body_piece(std::uint64_t id, const std::string& piece, bool last);
  // The piece of a long response that was passed last has left.
  void on_response_piece_sent(std::uint64_t id);

  // ---- From the server connections
  void on_attempt_complete(AttemptKey key, AttemptResult result);
  // The attempt's last byte has been written.
  void on_attempt_written(AttemptKey key);
  // What there was of a long body has been written.
  void on_body_piece_written(AttemptKey key);
  // A long response of so many bytes, where that is known, has begun.
  void on_response_started(AttemptKey key, AttemptResult result,
                           std::optional<std::uint64_t> length);
  void on_response_piece(AttemptKey key, std::string piece);

  // ---- Actions of the decision module
  void send_attempt(const SendAttempt& action);
  void cancel_attempt(const CancelAttempt& action);
  void reject(const Reject& action);
  void fail(const Fail& action);

  // Reports the requests that were held for the endpoint list to the decision module.
  void release_held_requests();

  // ---- For the shutdown
  // No deadline of a request or attempt that is set from now on is later than this.
  void limit_deadlines(Micros latest);
  // Ends the attempts whose deadline, limited as above, has come. The decision module decides what
  // becomes of their requests.
  void expire_attempts();
  // Fails all requests that are unanswered, and breaks off responses that have begun.
  void fail_unfinished_requests();
  bool all_requests_finished() const { return requests_.all_finished(); }

 private:
  using Iterator = RequestTable::Iterator;
  struct HeldRequest {
    std::uint64_t id;
    RequestArrived arrived;
  };

  void expire_attempt(AttemptKey key);
  void complete_attempt(Iterator entry, AttemptKey key, const AttemptResult& result);
  void finish_response(Request& request, AttemptKey key, const AttemptResult& result);
  void schedule_decision_check(std::uint64_t id, Micros deadline);
  void fail_without_decision(std::uint64_t id);
  void fail(Iterator entry);
  void answer(Request& request, ClientResponse answer);
  // Counts the request's end. False: it has been counted before.
  bool try_finish(Request& request, RequestOutcome outcome);
  Micros limit_deadline(Micros deadline) const;

  EventLoop loop_;
  const Settings& settings_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  EventBatcher& events_;
  GatewayStats& stats_;
  const EndpointListApplier& endpoint_lists_;
  RequestTable requests_;
  std::vector<HeldRequest> held_for_endpoint_list_;
  std::optional<Micros> latest_deadline_;
};

}  // namespace quota_gateway::net
