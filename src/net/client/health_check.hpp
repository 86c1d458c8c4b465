// The response to GET /_health, by which load balancers decide whether to send clients here.
// Stateless; called by the client session.
#pragma once

#include "net/client/client_callbacks.hpp"

namespace quota_gateway::net {

enum class ServingState {
  kStarting,  // does not know its endpoints yet
  kServing,
  kDraining,  // shuts down
};

// 200 while serving, else 503; the body names the state.
ClientResponse health_response(ServingState state);

}  // namespace quota_gateway::net
