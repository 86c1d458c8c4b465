// Manages client requests from their arrival to their answer: reports their events to the decision
// module and executes its decisions about them. Every accepted request gets exactly one answer, at
// the latest shortly after its deadline. Owned by GatewayServer, which connects it to the client
// connections, the server connections and the decision module's actions. MessageStreamer handles
// long messages, RequestDeadlines handles deadlines.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "net/client/client_listener.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/attempt_reporter.hpp"
#include "net/server/endpoint_list_applier.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/message_streamer.hpp"
#include "net/server/request_deadlines.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_guard.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class RequestDispatcher {
 public:
  // The other modules of the server that a request passes through. They may be constructed after
  // the dispatcher, but before its first call.
  struct Collaborators {
    const Settings& settings;
    RequestTable& requests;
    ConnectionPool& pool;
    ClientListener& clients;
    EventBatcher& events;
    GatewayStats& stats;
    RequestFinisher& finisher;
    AttemptReporter& reporter;
    RequestDeadlines& deadlines;
    MessageStreamer& streamer;
    RequestGuard& guard;
    const EndpointListApplier& endpoint_lists;
  };
  RequestDispatcher(EventLoop loop, Collaborators collaborators);

  // ---- From the client connections
  // Accepts a request and returns its id. None: the request is rejected because one with the same
  // trace id is open.
  std::optional<std::uint64_t> on_client_request(ClientId client, ClientRequest accepted);
  // The client has disconnected before its request was finished.
  void on_client_disconnect(std::uint64_t id);

  // ---- From the server connections and the deadlines
  // The attempt, or its long response, has ended.
  void on_attempt_complete(AttemptKey key, AttemptResult result);
  // Whether the attempt may begin: its request is open and its client is connected. Asked right
  // before the first byte of each attempt, since the client may have left while the request was
  // held or the connection came up, and the event loop may not have reported that yet.
  bool may_begin_attempt(AttemptKey key);
  // The last byte of the attempt's request has been written.
  void on_attempt_written(AttemptKey key);

  // ---- Actions of the decision module
  void send_attempt(const SendAttempt& action);
  void cancel_attempt(const CancelAttempt& action);
  void reject(const Reject& action);
  void fail(const Fail& action);

  // An exception has interrupted the decision about the request, or its execution. Answers the
  // client at once, 503 if no attempt was written, unless an attempt in flight goes on.
  void end_undecided(const std::string& id);

  // Passes on to the decision module the requests that were held until the endpoint list was
  // applied.
  void release_held_requests();

 private:
  struct HeldRequest {
    std::uint64_t id;
    RequestArrived arrived;
  };

  // What on_client_request() does with a request that was added to the table.
  void accept(std::uint64_t id, Request& request, ClientId client, ClientRequest accepted);
  // Rejects a request whose time was over before it was accepted.
  void reject_overdue(std::uint64_t id);
  // Whether the attempt that was just added to the request may be sent.
  bool may_send(const Request& request) const;

  EventLoop loop_;
  const Settings& settings_;
  RequestTable& requests_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  EventBatcher& events_;
  GatewayStats& stats_;
  RequestFinisher& finisher_;
  AttemptReporter& reporter_;
  RequestDeadlines& deadlines_;
  MessageStreamer& streamer_;
  RequestGuard& guard_;
  const EndpointListApplier& endpoint_lists_;
  std::vector<HeldRequest> held_for_endpoint_list_;
};

}  // namespace quota_gateway::net
