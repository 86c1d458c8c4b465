// What the client listener and its user, the gateway server, exchange: responses in one direction,
// callbacks in the other.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/client/request_validator.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Identifies one client connection; never used twice.
using ClientId = std::uint64_t;

// A complete response to a client.
struct ClientResponse {
  int status = 502;
  std::optional<Micros> retry_after;  // in a Retry-After header, in which 1 ms is the least
  std::string body;
};

// What the listener reports, on the event loop, and never from within a call to the listener except
// as said below. A callback may call any function of the listener, unless it says otherwise.
struct ClientListenerCallbacks {
  // A valid request has arrived. Returns the id under which the other callbacks name the request,
  // or nullopt to reject it because a request with its trace id is open. Of a long body only the
  // beginning may be there; the rest comes by request_body_piece(). Must not respond to `client`
  // before it has returned.
  std::function<std::optional<std::uint64_t>(ClientId client, ClientRequest request)> on_request;
  // The client of a request has disconnected before the response was complete. Not called for
  // abort_response().
  std::function<void(std::uint64_t request)> on_client_disconnected;
  // The piece that request_body_piece() asked for.
  std::function<void(std::uint64_t request, const std::string& piece, bool last)> on_body_piece;
  // The last piece of the response has been written to the socket; the next one may follow.
  std::function<void(std::uint64_t request)> on_piece_sent;
  // Whether load balancers may send clients here, as /_health says.
  std::function<bool()> is_serving = [] { return true; };
};

}  // namespace quota_gateway::net
