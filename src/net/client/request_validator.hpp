// Validates the head of a client's request. Requests that violate the protocol are rejected here,
// so that neither the decision module nor an upstream server receives them. Stateless; called by
// the request reader.
#pragma once

#include <boost/beast/http/message.hpp>
#include <string_view>

#include "net/http/forwarded_request.hpp"
#include "net/http/framing.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A request of a client that has passed validation.
struct ClientRequest {
  RequestArrived arrived;      // the server sets `id`, `deadline` and `body_pending`
  Micros timeout = 0;          // how long the client waits for the response
  Micros received_at = 0;      // when the last of its bytes arrived; the request reader sets it
  bool idempotent = false;     // the request class is idempotent, so a body is not allowed
  bool may_run_again = false;  // by its class: idempotent, or servers recognise its key
  ForwardedRequest forwarded;  // the request reader adds the body
};

// Parses the value of X-Expires-In, such as "480m" (milliseconds) or "480000u" (microseconds).
// Throws HttpError if it is invalid.
Micros parse_expires_in(std::string_view text);

// Validates the head of `request` and returns its parts; the body is not examined. Throws HttpError
// with the status and the reason to send to the client.
ClientRequest validate_request(const boost::beast::http::request<IncrementalBody>& request,
                               const Settings& settings);

}  // namespace quota_gateway::net
