// The requests that clients of a measured gateway process send. Keeps no state.
#pragma once

#include <cstdint>
#include <string>

namespace quota_gateway::scale {

// A request of the class "read" for one unit of the plan's quota.
struct ReadRequest {
  std::uint64_t customer = 1;
  std::uint64_t trace_id = 0;  // no two requests of a gateway may share one
  std::uint64_t expires_in_ms = 4'000;
};

// The request's bytes in HTTP/1.1.
std::string render(const ReadRequest& request);

}  // namespace quota_gateway::scale
