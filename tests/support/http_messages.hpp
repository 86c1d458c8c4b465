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

}  // namespace quota_gateway::net::testing
