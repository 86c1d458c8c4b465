// Renders the requests that clients send to a measured gateway process. Stateless.
#pragma once

#include <cstdint>
#include <string>

namespace quota_gateway::scale {

// A request of the class "read" for one unit of the plan's quota.
struct ReadRequest {
  std::uint64_t customer = 1;
  std::uint64_t trace_id = 0;  // must be unique among the requests to a gateway
  std::uint64_t expires_in_ms = 4'000;
};

// Returns the request in HTTP/1.1.
std::string render(const ReadRequest& request);

}  // namespace quota_gateway::scale
