// Looks ahead at the requests that a client has sent behind the one in progress. Their responses
// keep the order of the requests, so the time of one of them also limits the requests before it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

struct PipelinedRequest {
  std::size_t end;  // offset behind its last byte
  Micros timeout;   // how long the client waits for the response, as it says
};

// Returns the complete requests at the beginning of the input. Stops before a request whose body
// has no stated length, or which is not valid as far as it is examined here, and after
// kMaxLookAheadBytes. Requests that state no timeout, such as health checks, are left out.
std::vector<PipelinedRequest> find_pipelined_requests(std::string_view input);

inline constexpr std::size_t kMaxLookAheadBytes = 16 << 10;

}  // namespace quota_gateway::net
