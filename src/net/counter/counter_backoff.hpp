// How long CounterClient waits before it connects again. No clock, no random numbers.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The first wait is zero; further ones grow up to half a second.
class CounterBackoff {
 public:
  // The wait before the next attempt to connect, us. Each call lengthens the next wait.
  Micros next(Micros now);
  // The counter has responded.
  void reset() { wait_ = 0; }
  // The counter may still hold a connection that we gave up: the next wait is the longest.
  void set_longest();

 private:
  Micros wait_ = 0;
};

}  // namespace quota_gateway::net
