#include "net/server/request_guard.hpp"

#include <iostream>

namespace quota_gateway::net {

bool RequestGuard::may_begin(const Request& request, AttemptKey key) {
  if (request.attempts_in_flight != 1 || key.attempt != request.latest_attempt()) {
    on_violation(key.request, "another attempt is in flight; this one is not sent");
    return false;
  }
  if (request.is_run_possible && !request.may_run_again) {
    on_violation(key.request, "it may have run and is not idempotent; it is not sent again");
    return false;
  }
  return true;
}

// Other causes lie with the client, or its connection is lost.
void RequestGuard::on_closed(std::uint64_t request, const SessionClose& cause) {
  if (cause.reason == CloseReason::kFinished || cause.reason == CloseReason::kIdle ||
      cause.reason == CloseReason::kInterrupted) {
    on_violation(request, "its connection is closed before its response is complete");
  }
}

void RequestGuard::on_violation(std::uint64_t request, std::string_view rule) {
  ++violations_;
  std::cerr << "guard: request " << request << ": " << rule << "; violation " << violations_
            << " of this process\n";
}

}  // namespace quota_gateway::net
