// The types that the gateway server and the client listener exchange: the server passes responses
// to the listener, and the listener reports events to the server through callbacks.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/client/request_validator.hpp"
#include "net/client/session_close.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Identifies one client connection. Ids are never reused.
using ClientId = std::uint64_t;

// A complete response to a client.
struct ClientResponse {
  int status = 502;
  std::optional<Micros> retry_after;  // sent as Retry-After; less than 1 ms is raised to 1 ms
  std::string body;
};

// Events that the listener reports to the gateway server. The listener calls them from the event
// loop, never from within a call of one of its own functions. A callback may call any function of
// the listener, unless its comment excludes it.
struct ClientListenerCallbacks {
  // A valid request has arrived. Returns the id by which the other callbacks refer to the request,
  // or nullopt to reject the request because another one with the same trace id is in progress or
  // has run. If the body is long, the request may hold only its beginning; request_body_piece()
  // fetches the rest. The callback must not respond to `client` before it returns.
  std::function<std::optional<std::uint64_t>(ClientId client, ClientRequest request)> on_request;
  // The client of a request has disconnected before its response was complete. Not called after
  // abort_response().
  std::function<void(std::uint64_t request)> on_client_disconnected;
  // The gateway has closed the connection of a request before its response was complete.
  // on_client_disconnected follows.
  std::function<void(std::uint64_t request, const SessionClose& cause)> on_closed_unanswered =
      [](std::uint64_t, const SessionClose&) {};
  // The body piece that request_body_piece() requested has arrived.
  std::function<void(std::uint64_t request, const std::string& piece, bool last)> on_body_piece;
  // The last byte of a body has arrived, though on_body_piece has not delivered all of it. From now
  // on the time of the request counts. Called at most once for each request.
  std::function<void(std::uint64_t request)> on_body_arrived = [](std::uint64_t) {};
  // The client waits for another request, which follows this one on its connection, only until
  // `end`. The response to this one comes first, so it must come by then.
  std::function<void(std::uint64_t request, Micros end)> on_following_request_ends =
      [](std::uint64_t, Micros) {};
  // The latest piece of the response has been written to the socket; the next one may be sent.
  std::function<void(std::uint64_t request)> on_piece_sent;
  // Whether /_health tells load balancers to send clients to this gateway.
  std::function<bool()> is_serving = [] { return true; };
};

}  // namespace quota_gateway::net
