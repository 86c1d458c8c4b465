// What a client's request must be before anything else sees it. All that is not is refused at the
// door, so that neither the module nor a server ever meets it.
#pragma once

#include <boost/beast/http/message.hpp>

#include "net/http/forwarded_request.hpp"
#include "net/http/framing.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct ClientRequest {
  RequestArrived arrived;   // `id` and `deadline` are the driver's to fill in
  Micros timeout = 0;       // how long the client waits
  bool idempotent = false;  // it has no body
  ForwardedRequest forwarded;
};

// By its head alone; the body is still to come. Throws HttpError.
ClientRequest parse_request(const boost::beast::http::request<IncrementalBody>& request,
                            const Settings& settings);

}  // namespace quota_gateway::net
