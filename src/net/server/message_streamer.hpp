// Streams long request bodies and long responses piece by piece, each at the pace of its receiver,
// so that no long message is buffered completely. Owned by GatewayServer, which connects it to the
// client connections and the server connections.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/client/client_listener.hpp"
#include "net/event_loop/clock.hpp"
#include "net/server/attempt_reporter.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/request_deadlines.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/connection_pool.hpp"

namespace quota_gateway::net {

class MessageStreamer {
 public:
  // The other modules of the server that a long message passes through. They may be constructed
  // after this object, but before the first call.
  struct Collaborators {
    RequestTable& requests;
    ConnectionPool& pool;
    ClientListener& clients;
    EventBatcher& events;
    RequestFinisher& finisher;
    AttemptReporter& reporter;
    RequestDeadlines& deadlines;
    GatewayStats& stats;
  };
  MessageStreamer(const Clock& clock, Collaborators collaborators);

  // ---- A long request body, from the client to the server
  // Forwards the next piece of the body. `is_last`: the body is complete.
  void on_body_piece(std::uint64_t id, const std::string& piece, bool is_last);
  // The last byte of the body has arrived, though the client connection has not passed on all of
  // it.
  void on_body_arrived(std::uint64_t id);
  // All of the body that was received so far has been written. Requests the next piece from the
  // client.
  void on_body_piece_written(AttemptKey key);
  // An attempt of the request has ended without a response for the client. Withdraws its request
  // for the next piece: the next attempt begins with the stored beginning of the body, and
  // requests the piece itself once that is written.
  void on_attempt_failed(const Request& request);
  // The last byte of the attempt's request has been written. Has no effect unless the body is long.
  void on_request_written(AttemptKey key);

  // ---- A long response, from the server to the client
  // The response has begun; `result` holds the part received so far. `length` is the size of the
  // complete body in bytes, if it is known.
  void on_response_started(AttemptKey key, const AttemptResult& result,
                           std::optional<std::uint64_t> length);
  // Passes the next piece on to the client.
  void on_response_piece(AttemptKey key, std::string piece);
  // The last piece has been written to the client. Resumes reading from the server.
  void on_response_piece_sent(std::uint64_t id);
  // The response has ended: completely if the outcome is kOk, else the connection of the client is
  // reset. Removes the request, unless it was finished before.
  void finish_response(Request& request, AttemptKey key, const AttemptResult& result);

 private:
  void abort_response(Request& request, AttemptKey key, ResponseFault fault);

  const Clock& clock_;
  RequestTable& requests_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  EventBatcher& events_;
  RequestFinisher& finisher_;
  AttemptReporter& reporter_;
  RequestDeadlines& deadlines_;
  GatewayStats& stats_;
};

}  // namespace quota_gateway::net
