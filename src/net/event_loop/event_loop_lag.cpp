#include "net/event_loop/event_loop_lag.hpp"

#include <algorithm>
#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Micros kMicrosPerMillisecond = 1'000;

}  // namespace

EventLoopLag::EventLoopLag(Timers& timers, const Clock& clock)
    : timers_(timers), clock_(clock), latest_tick_(clock.now()), previous_tick_(latest_tick_) {
  timers_.every(kTickInterval, [this] { tick(); });
}

Micros EventLoopLag::earliest_arrival() const {
  constexpr Micros kMaxAgeOfPreviousTick = 2 * kTickInterval + kTolerance;
  const Micros now = clock_.now();
  if (now - previous_tick_ > kMaxAgeOfPreviousTick) {
    return previous_tick_;  // the delay is not over, or not noticed yet
  }
  return late_turns_ > 0 ? delayed_since_ : now;
}

void EventLoopLag::tick() {
  const Micros last_but_one = previous_tick_;
  previous_tick_ = latest_tick_;
  latest_tick_ = clock_.now();
  const Micros delay = latest_tick_ - previous_tick_ - kTickInterval;
  if (delay > kTolerance) {
    delayed_since_ = last_but_one;
    on_delay(delay);
  } else if (late_turns_ > 0) {
    --late_turns_;
    tick_in_next_turn();
  }
}

void EventLoopLag::on_delay(Micros delay) {
  ++delays_;
  max_delay_ = std::max(max_delay_, delay);
  late_turns_ = kTurnsUntilRead;
  tick_in_next_turn();
  if (log_limit_.try_log(latest_tick_)) {
    std::cerr << "event loop: late by " << delay / kMicrosPerMillisecond
              << " ms; requests read until then may have arrived that much earlier\n";
  }
}

void EventLoopLag::tick_in_next_turn() {
  if (ticks_in_next_turn_) {
    return;
  }
  timers_.after(0, [this] {
    ticks_in_next_turn_ = false;
    tick();
  });
  ticks_in_next_turn_ = true;
}

}  // namespace quota_gateway::net
