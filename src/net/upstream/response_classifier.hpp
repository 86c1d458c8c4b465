// Maps a server's response to the outcome of the attempt. Pure functions without state;
// ConnectionPool calls them.
#pragma once

#include <boost/beast/http/message.hpp>

#include "net/http/framing.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

using ServerResponse = boost::beast::http::response<IncrementalBody>;

// Whether this is a 1xx response, after which the final one follows.
bool is_interim(const ServerResponse& response);

// The outcome that the response's head states. It is kOverloaded, which means never ran, only when
// the header X-Never-Ran proves it: a plain 503 or 504 may come from a server that did the work.
Outcome outcome_of(const ServerResponse& response);

// The attempt's result as the response states it; `first_byte_at` is when its first byte arrived.
// For kOk the body is moved out of the response.
AttemptResult take_result(ServerResponse& response, Micros first_byte_at);

}  // namespace quota_gateway::net
