// The clock of one gateway process. GatewayServer owns it; every module of src/net reads it.
#pragma once

#include <chrono>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Starts at the system time, so that all gateways agree on periods and on the start times of
// servers. Afterwards it advances with the steady clock, so it never goes back, even if the system
// time is changed.
class Clock {
 public:
  Clock();

  // Microseconds since the Unix epoch.
  Micros now() const;

 private:
  Micros system_time_at_start_;
  std::chrono::steady_clock::time_point started_at_;
};

}  // namespace quota_gateway::net
