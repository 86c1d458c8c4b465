// What a client's request must be before anything else sees it. All that is not is refused at the
// door, so that neither the module nor a server ever meets it.
#pragma once

#include <boost/beast/http/message.hpp>

#include "net/http/framing.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct ClientRequest {
  RequestArrived arrived;  // `id` and `deadline` are the driver's to fill in
  Micros patience = 0;     // how long the client waits
  bool safe = false;       // it has no body
  Outgoing outgoing;
};

// By its head alone; the body is still to come. Throws BadMessage.
ClientRequest parse_request(const boost::beast::http::request<PieceBody>& request,
                            const Settings& settings);

}  // namespace quota_gateway::net
