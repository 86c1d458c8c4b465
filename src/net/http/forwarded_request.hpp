// What the gateway forwards of a client's request. The request validator fills it in from the
// request's head, the client session adds the body, and the connection pool writes it to an
// upstream server, unchanged for each attempt of the request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quota_gateway::net {

struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string trace_id;
  std::string idempotency_key;  // empty: the request has none
  std::string body;             // all of it, or only its beginning (see body_complete)
  bool body_complete = true;    // false: the rest of the body follows piece by piece
  std::optional<std::uint64_t> content_length;  // bytes of the whole body, where it is known
};

}  // namespace quota_gateway::net
