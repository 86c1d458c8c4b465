// Writes HTTP requests of clients and HTTP responses of servers as text.
#pragma once

#include <string>

namespace quota_gateway::net::testing {

// Returns a response of a server. `headers`: complete header lines, each with its line end.
std::string http_response(const std::string& status, const std::string& headers = "",
                          const std::string& body = "");

// Returns an idempotent request of class profile-read for one unit. `headers`: complete header
// lines, each with its line end.
std::string get_request(const std::string& trace_id, const std::string& headers = "");

// Returns a request of class intro-request for one unit, with an idempotency key. `expires_in`: the
// value of header X-Expires-In.
std::string post_request(const std::string& trace_id, const std::string& expires_in = "4000m");

// Returns the head of such a request whose body follows. `framing`: the header line that states how
// the body ends, without its line end.
std::string post_head(const std::string& framing, const std::string& trace_id = "t");

// Returns `content`, which must not be empty, as one chunk of a chunked body.
std::string chunk(const std::string& content);

}  // namespace quota_gateway::net::testing
