// The log lines about discovery: both ends of each time without a healthy watch, and lists that
// were rejected. Owned by DiscoveryClient.
#pragma once

#include <cstdint>
#include <optional>

#include "net/discovery/list_intake.hpp"
#include "net/discovery/watch_disconnect.hpp"
#include "net/event_loop/log_rate_limit.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class DiscoveryOutageLog {
 public:
  // `revision`: of the list in force. A line is written at most every 10 s.
  void on_disconnected(const WatchDisconnect& cause, std::int64_t revision, Micros now);
  // Call it before on_disconnected(), which then writes no line of its own. `retry_wait`: until the
  // next request, us.
  void on_list_rejected(const ListIntake::Rejection& rejection, const WatchDisconnect& cause,
                        std::int64_t revision, Micros retry_wait, Micros now);
  // The watch is healthy.
  void on_healthy(Micros now);

 private:
  // None while the watch is healthy.
  std::optional<Micros> disconnected_at_;
  LogRateLimit log_limit_;
};

}  // namespace quota_gateway::net
