// The parts of a client's request that the gateway forwards. The request validator sets them from
// the request's head, the request reader adds the body, and the connection pool writes them to an
// upstream server, unchanged for each attempt of the request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quota_gateway::net {

// A request to an upstream server.
struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string trace_id;
  std::string idempotency_key;  // empty if the request has none
  std::string body;             // the complete body or its beginning, see body_complete
  bool body_complete = true;    // false: the rest of the body follows in pieces
  std::optional<std::uint64_t> content_length;  // of the complete body in bytes, if known
};

}  // namespace quota_gateway::net
