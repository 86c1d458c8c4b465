// Computes how long CounterClient waits before it reconnects. Reads no clock and uses no random
// numbers.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Exponential backoff with jitter. The first wait is zero; later waits double from 50 ms up to
// 500 ms, before jitter.
class CounterBackoff {
 public:
  // Returns the wait before the next attempt to connect, in microseconds, and increases the wait
  // after that.
  Micros next(Micros now);
  // Makes the next wait zero. Called when the counter has responded.
  void reset() { wait_ = 0; }
  // Makes the next wait the maximum. Called when the counter may still hold a connection that the
  // client has closed.
  void use_max_wait();

 private:
  Micros wait_ = 0;  // next wait before jitter
};

}  // namespace quota_gateway::net
