// The response to GET /_health. Load balancers use it to decide whether to send clients to this
// gateway. Stateless; called by the client session.
#pragma once

#include "net/client/client_callbacks.hpp"

namespace quota_gateway::net {

// Whether a gateway can serve clients.
enum class ServingState {
  kStarting,  // the gateway has no endpoint list yet
  kServing,
  kDraining,  // the gateway is shutting down
};

// Returns status 200 for kServing, else 503. The body names the state.
ClientResponse health_response(ServingState state);

}  // namespace quota_gateway::net
