#include "net/server/failed_request_log.hpp"

#include <iostream>

namespace quota_gateway::net {

FailedRequestLog::Kind FailedRequestLog::kind_of(const RequestTimeline& timeline) {
  if (timeline.contains(RequestStep::kClientLeft)) {
    return Kind::kClientLeft;
  }
  return timeline.contains(RequestStep::kResponseAborted) ? Kind::kAborted : Kind::kFailed;
}

void FailedRequestLog::on_failed(const Request& request, Micros now) {
  const RequestTimeline& timeline = request.timeline;
  const Kind kind = kind_of(timeline);
  if (kind == Kind::kClientLeft && !timeline.contains(RequestStep::kAttemptBegun)) {
    return;
  }
  Lines& lines = lines_.at(std::size_t(kind));
  if (lines.last_logged_at && now - *lines.last_logged_at < kMinInterval) {
    ++lines.unlogged;
    return;
  }
  lines.last_logged_at = now;
  std::cerr << "request " << request.id << " (trace id " << request.forwarded.trace_id
            << ") ended without a complete response: " << timeline.describe();
  if (!request.attempts.empty()) {
    std::cerr << "; last server " << request.attempts.back().endpoint;
  }
  std::cerr << "; " << lines.unlogged << " such requests since the last line\n";
  lines.unlogged = 0;
}

}  // namespace quota_gateway::net
