#include "net/counter/counter_backoff.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr Micros kMinWait = 50'000;   // us
constexpr Micros kMaxWait = 500'000;  // us

}  // namespace

// Spread by the clock over 3/4 to 5/4 of the wait, so that gateways that lost the counter together
// do not return together.
Micros CounterBackoff::next(Micros now) {
  const Micros spread = wait_ > 0 ? now % (wait_ / 2) : 0;
  const Micros drawn = wait_ * 3 / 4 + spread;
  wait_ = std::clamp(2 * wait_, kMinWait, kMaxWait);
  return drawn;
}

void CounterBackoff::set_longest() {
  wait_ = kMaxWait;
}

}  // namespace quota_gateway::net
