// Requests of clients and responses of servers as text.
#pragma once

#include <string>

namespace quota_gateway::net::testing {

// `headers`: complete lines.
std::string http_response(const std::string& status, const std::string& headers = "",
                          const std::string& body = "");

// An idempotent request of class profile-read for one unit. `headers`: complete lines.
std::string get_request(const std::string& trace_id, const std::string& headers = "");

// A request of class intro-request with an idempotency key, for one unit.
std::string post_request(const std::string& trace_id, const std::string& expires_in = "4000m");

}  // namespace quota_gateway::net::testing
