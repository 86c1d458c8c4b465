// Passes long request bodies and long responses on piece by piece, each at the pace of its reader,
// so that no message is in memory as a whole. Owned by GatewayServer, which connects it to the
// client connections and the server connections.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/client/client_listener.hpp"
#include "net/event_loop/clock.hpp"
#include "net/server/attempt_reporter.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_deadlines.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/connection_pool.hpp"

namespace quota_gateway::net {

class MessageStreamer {
 public:
  // The other modules of the server that a long message passes through. They may be constructed
  // later, but before the first call.
  struct Collaborators {
    RequestTable& requests;
    ConnectionPool& pool;
    ClientListener& clients;
    EventBatcher& events;
    RequestFinisher& finisher;
    AttemptReporter& reporter;
    RequestDeadlines& deadlines;
  };
  MessageStreamer(const Clock& clock, Collaborators collaborators);

  // ---- A long request body, from the client to the server
  // A further piece has come; `is_last`: the body is complete.
  void on_body_piece(std::uint64_t id, const std::string& piece, bool is_last);
  // What there was of the body has been written.
  void on_body_piece_written(AttemptKey key);
  // The last byte of the attempt's request has been written. Does nothing if the body was short.
  void on_request_written(AttemptKey key);

  // ---- A long response, from the server to the client
  // It has begun, with what there is of it in `result`. `length`: of all of it, bytes, if known.
  void on_response_started(AttemptKey key, const AttemptResult& result,
                           std::optional<std::uint64_t> length);
  void on_response_piece(AttemptKey key, std::string piece);
  // The piece that was passed last has left for the client.
  void on_response_piece_sent(std::uint64_t id);
  // It has ended: completely if the outcome is kOk, else the client's connection is reset. Removes
  // the request.
  void finish_response(Request& request, AttemptKey key, Outcome outcome);

 private:
  const Clock& clock_;
  RequestTable& requests_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  EventBatcher& events_;
  RequestFinisher& finisher_;
  AttemptReporter& reporter_;
  RequestDeadlines& deadlines_;
};

}  // namespace quota_gateway::net
