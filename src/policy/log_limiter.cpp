#include "policy/log_limiter.hpp"

#include <string>

namespace quota_gateway::policy {
namespace {

std::string_view prefix(LogKind kind) {
  switch (kind) {
    case LogKind::kEndpoint:
      return "endpoint: ";
    case LogKind::kCounter:
      return "counter: ";
    case LogKind::kCapacity:
      return "capacity: ";
    case LogKind::kRejections:
      return "rejected: ";
  }
  return "";
}

}  // namespace

void LogLimiter::log(EventContext& context, LogKind kind, std::string_view text) {
  std::optional<Micros>& last = last_logged_at_[std::size_t(kind)];
  if (last && context.now - *last < kInterval) {
    return;
  }
  last = context.now;
  context.emit(LogLine{std::string(prefix(kind)).append(text)});
}

}  // namespace quota_gateway::policy
