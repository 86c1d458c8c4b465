// Decides by what servers have sent whether their connections may be reused. A response does not
// name its request, so bytes that a server sends without a request are taken for the response to
// the next request on their connection, and its own response for that to the one behind it.
//
// Owned by ConnectionPool. Does no I/O and reads no clock.
#pragma once

#include <string>
#include <unordered_map>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// One process of a server.
struct ServerProcess {
  std::string server;
  Micros started_at = 0;
};

// The evidence about the processes of all servers. A process that starts later begins anew.
class ConnectionReusePolicy {
 public:
  // The process has sent bytes that no request awaited, so it may do so again.
  void on_unsolicited_bytes(const ServerProcess& process);
  // The process has rejected the first request on a new connection: it may hold no further one.
  void on_connection_rejected(const ServerProcess& process);
  // A response had another body than the one before it on its connection, or the same.
  void on_response(const ServerProcess& process, bool has_same_body);
  // A connection that was reused early gave a response with the same body as the one before it: a
  // second copy, or this process responds alike.
  void on_suspected_copy(const ServerProcess& process);

  // Whether a connection to the process may be reused early, before a second response would have
  // come: the process holds few connections, and a second response could be told from another one
  // or would be no other.
  bool may_reuse_early(const ServerProcess& process) const;
  // Whether a response on a connection that is reused early is a second copy if it has the same
  // body as the one before it.
  bool suspects_same_body(const ServerProcess& process) const;

  // Whether connections to the process may serve more than one request.
  bool may_reuse(const ServerProcess& process) const;

  // A response had the same bytes as the one before it on its connection: it may be a second copy
  // of that one, with its own response still to come. Returns whether the connection is to be
  // observed before it is reused. The caller then calls end_observation(). Not so if too many
  // connections to the process are observed already, or if it has been shown to respond alike.
  bool begin_observation(const ServerProcess& process);
  // `was_silent`: the connection was observed to the end, and nothing arrived on it.
  void end_observation(const ServerProcess& process, bool was_silent);

 private:
  struct Evidence {
    Micros started_at = 0;
    bool sends_unsolicited_bytes = false;
    bool responds_alike = false;  // its responses to different requests may have the same bytes
    bool rejects_connections = false;
    bool responds_differently = false;  // all responses so far had another body than the one before
    bool has_repeated_body = false;
    int observed_connections = 0;
  };

  // Returns the evidence about the process, or null if there is none.
  const Evidence* known_evidence(const ServerProcess& process) const;
  // Returns the evidence about the process, or null if a later process of the server is known.
  Evidence* evidence_for(const ServerProcess& process);

  std::unordered_map<std::string, Evidence> by_server_;
};

}  // namespace quota_gateway::net
