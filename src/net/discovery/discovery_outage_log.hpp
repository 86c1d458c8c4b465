// Writes the log lines about discovery: the start and the end of each outage of the watch, and each
// rejected endpoint list. Owned by DiscoveryClient.
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
  // Logs the cause of a disconnection, at most one line every 10 s. `revision`: revision of the
  // list in force.
  void on_disconnected(const WatchDisconnect& cause, std::int64_t revision, Micros now);
  // Logs each rejected list. Call it before on_disconnected(), which then does not log the
  // disconnection. `retry_wait`: time until the next request, us.
  void on_list_rejected(const ListIntake::Rejection& rejection, const WatchDisconnect& cause,
                        std::int64_t revision, Micros retry_wait, Micros now);
  // Logs the duration of the outage that ends, if there was one.
  void on_healthy(Micros now);

 private:
  // Start of the current outage; no value while the watch is healthy.
  std::optional<Micros> disconnected_at_;
  LogRateLimit log_limit_;
};

}  // namespace quota_gateway::net
