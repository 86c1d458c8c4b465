// The time of one gateway process. GatewayServer owns the clock; every module of src/net reads it.
#pragma once

#include <chrono>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Begins at the system's time, so that gateways agree on periods and on the start times of servers.
// From then on it advances with the steady clock: it never goes back, also when the system's time
// is set.
class Clock {
 public:
  Clock();

  // Time since the epoch.
  Micros now() const;

 private:
  Micros system_time_at_start_;
  std::chrono::steady_clock::time_point started_at_;
};

}  // namespace quota_gateway::net
