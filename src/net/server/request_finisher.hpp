// Finishes requests: counts the outcome of each one once and answers its client. Owned by
// GatewayServer, used by RequestDispatcher, RequestDeadlines and MessageStreamer.
#pragma once

#include "net/client/client_listener.hpp"
#include "net/event_loop/clock.hpp"
#include "net/server/failed_request_log.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/request_table.hpp"

namespace quota_gateway::net {

class RequestFinisher {
 public:
  // All arguments must outlive the finisher; none is used before the first call.
  RequestFinisher(const Clock& clock, RequestTable& requests, ClientListener& clients,
                  GatewayStats& stats);

  // Marks the request as finished, counts its outcome and logs a failure. Returns false if it was
  // finished before; its client must not get another answer then.
  bool try_finish(Request& request, RequestOutcome outcome);
  // Answers the client and finishes the request, unless it was finished before.
  void answer(Request& request, const ClientResponse& response);
  // Answers the client with 504 if the last attempt timed out, else with 502. Removes the request
  // and invalidates `entry` if none of its attempts is in flight.
  void fail(RequestTable::Iterator entry);

 private:
  const Clock& clock_;
  RequestTable& requests_;
  ClientListener& clients_;
  GatewayStats& stats_;
  FailedRequestLog log_;
};

}  // namespace quota_gateway::net
