// Validates the head of a client's request. Whatever breaks the protocol is rejected here, so that
// neither the decision module nor an upstream server ever sees it. Stateless; called by the client
// session.
#pragma once

#include <boost/beast/http/message.hpp>

#include "net/http/forwarded_request.hpp"
#include "net/http/framing.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A valid request of a client.
struct ClientRequest {
  RequestArrived arrived;      // `id`, `deadline` and `body_pending` are left to the server
  Micros timeout = 0;          // how long the client waits for the response
  bool idempotent = false;     // its class is idempotent, so it must have no body
  ForwardedRequest forwarded;  // without the body, which is still to come
};

// Checks the request by its head alone and returns its parts. Throws HttpError with the status and
// the reason for the client.
ClientRequest validate_request(const boost::beast::http::request<IncrementalBody>& request,
                               const Settings& settings);

}  // namespace quota_gateway::net
