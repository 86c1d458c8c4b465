// Ends requests: counts each end once and answers the client. Owned by GatewayServer, used by the
// modules of this folder that take a request through its attempts.
#pragma once

#include "net/client/client_listener.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/request_table.hpp"

namespace quota_gateway::net {

class RequestFinisher {
 public:
  // All of them must outlive the finisher; none is used before its first call.
  RequestFinisher(RequestTable& requests, ClientListener& clients, GatewayStats& stats);

  // Counts the request's end. False: it has been counted before, and its client gets nothing more.
  bool try_finish(Request& request, RequestOutcome outcome);
  // Answers the client, unless the request has ended before.
  void answer(Request& request, const ClientResponse& response);
  // Answers that the request failed: 504 if its last attempt timed out, else 502. Removes the
  // request, and invalidates the iterator, if none of its attempts is in flight.
  void fail(RequestTable::Iterator entry);

 private:
  RequestTable& requests_;
  ClientListener& clients_;
  GatewayStats& stats_;
};

}  // namespace quota_gateway::net
