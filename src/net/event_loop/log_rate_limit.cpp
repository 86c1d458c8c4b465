#include "net/event_loop/log_rate_limit.hpp"

namespace quota_gateway::net {

bool LogRateLimit::try_log(Micros now) {
  if (last_logged_at_ && now - *last_logged_at_ <= kMinInterval) {
    return false;
  }
  last_logged_at_ = now;
  return true;
}

}  // namespace quota_gateway::net
