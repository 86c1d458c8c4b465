// The rules that no fault may break, checked while the process runs: a request has one attempt in
// flight at most, one that is not idempotent does not run twice, and none is closed by the gateway
// before its response. Every attempt passes here right before its first byte, and every closed
// client connection. Owned by GatewayServer. Does no I/O but its log.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/client/session_close.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

class RequestGuard {
 public:
  // Whether the attempt, whose request is open, may begin. If not, counts a violation.
  bool may_begin(const Request& request, AttemptKey key);
  // The gateway has closed the connection of a client that waits for its response.
  void on_closed(std::uint64_t request, const SessionClose& cause);

  // Number of violations since the start; 0 unless the gateway has a fault.
  std::uint64_t violations() const { return violations_; }

 private:
  void on_violation(std::uint64_t request, std::string_view rule);

  std::uint64_t violations_ = 0;
};

}  // namespace quota_gateway::net
