#include "net/discovery/watch_liveness.hpp"

#include <algorithm>

#include "net/discovery/watch_timing.hpp"

namespace quota_gateway::net {
namespace {

// 6 s after a watch fell silent, discovery assumes that the gateway knows all changes. Heartbeats
// arrive every 2 s, so after 3 s one is missing and there is still time for a second attempt to
// reconnect.
constexpr Micros kMaxSilence = 3'000'000;  // us

}  // namespace

void WatchLiveness::on_connecting(Micros now) {
  last_received_at_ = now;
  has_response_ = false;
}

void WatchLiveness::on_received(Micros now) {
  last_received_at_ = now;
  has_response_ = true;
}

std::optional<Micros> WatchLiveness::check(Micros now, Micros due) {
  if (now - due > kMaxTimerDelay) {
    last_received_at_ = std::max(last_received_at_, now - max_silence() + kMaxTimerDelay);
  }
  const Micros silent_at = last_received_at_ + max_silence();
  if (now >= silent_at) {
    return std::nullopt;
  }
  return silent_at;
}

Micros WatchLiveness::max_silence() const {
  return has_response_ ? kMaxSilence : response_timeout_;
}

}  // namespace quota_gateway::net
