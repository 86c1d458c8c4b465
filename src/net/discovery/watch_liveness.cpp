#include "net/discovery/watch_liveness.hpp"

#include <algorithm>

#include "net/discovery/watch_timing.hpp"

namespace quota_gateway::net {
namespace {

// Discovery takes what a silent watch misses as known to the gateway 6 s after it fell silent, and
// an empty line comes every 2 s. So a missed heartbeat and some, which leaves time for a second
// attempt.
constexpr Micros kMaxSilence = 3'000'000;  // us

}  // namespace

void WatchLiveness::on_connecting(Micros now) {
  last_heard_at_ = now;
  has_response_ = false;
}

void WatchLiveness::on_received(Micros now) {
  last_heard_at_ = now;
  has_response_ = true;
}

std::optional<Micros> WatchLiveness::check(Micros now, Micros due) {
  if (now - due > kMaxTimerDelay) {
    last_heard_at_ = std::max(last_heard_at_, now - max_silence() + kMaxTimerDelay);
  }
  const Micros silent_at = last_heard_at_ + max_silence();
  if (now >= silent_at) {
    return std::nullopt;
  }
  return silent_at;
}

Micros WatchLiveness::max_silence() const {
  return has_response_ ? kMaxSilence : response_timeout_;
}

}  // namespace quota_gateway::net
