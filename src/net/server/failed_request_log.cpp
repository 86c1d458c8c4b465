#include "net/server/failed_request_log.hpp"

#include <iostream>

namespace quota_gateway::net {

void FailedRequestLog::on_failed(const Request& request, Micros now) {
  const RequestTimeline& timeline = request.timeline;
  if (timeline.contains(RequestStep::kClientLeft) &&
      !timeline.contains(RequestStep::kAttemptBegun)) {
    return;
  }
  if (last_logged_at_ && now - *last_logged_at_ < kMinInterval) {
    ++unlogged_;
    return;
  }
  last_logged_at_ = now;
  std::cerr << "request " << request.id << " (trace id " << request.forwarded.trace_id
            << ") ended without a complete response: " << timeline.describe();
  if (!request.attempts.empty()) {
    std::cerr << "; last server " << request.attempts.back().endpoint;
  }
  std::cerr << "; " << unlogged_ << " such requests since the last line\n";
  unlogged_ = 0;
}

}  // namespace quota_gateway::net
