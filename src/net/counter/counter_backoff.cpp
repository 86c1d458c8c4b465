#include "net/counter/counter_backoff.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr Micros kMinWait = 50'000;   // us; the first wait after the initial zero
constexpr Micros kMaxWait = 500'000;  // us

}  // namespace

// Jitter derived from the clock spreads the wait over 3/4 to 5/4 of its base, so that gateways that
// lost the counter at the same time do not reconnect at the same time.
Micros CounterBackoff::next(Micros now) {
  const Micros jitter = wait_ > 0 ? now % (wait_ / 2) : 0;
  const Micros jittered_wait = wait_ * 3 / 4 + jitter;
  wait_ = std::clamp(2 * wait_, kMinWait, kMaxWait);
  return jittered_wait;
}

void CounterBackoff::use_max_wait() {
  wait_ = kMaxWait;
}

}  // namespace quota_gateway::net
