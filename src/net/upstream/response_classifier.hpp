// Maps a server's response to the result of the attempt. Functions without state; ResponseReader
// and UpstreamConnection call them.
#pragma once

#include <boost/beast/http/message.hpp>

#include "net/http/framing.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

// A response from a server. Its body holds only the bytes that have not been taken out yet.
using ServerResponse = boost::beast::http::response<IncrementalBody>;

// Returns whether this is an interim (1xx) response, which precedes the final response.
bool is_interim(const ServerResponse& response);

// Returns the outcome according to the response's head. kOverloaded means that the request did not
// run, so it requires a 503 or 504 with the header X-Never-Ran: 1. Without this header, the
// response may come from a server that did the work.
Outcome outcome_of(const ServerResponse& response);

// Returns the attempt's result according to the response's head: all of it but the body and the
// time of the first byte.
AttemptResult result_of_head(const ServerResponse& response);

}  // namespace quota_gateway::net
