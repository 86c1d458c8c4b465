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
  return now - previous_tick_ > kMaxAgeOfPreviousTick ? previous_tick_ : now;
}

void EventLoopLag::tick() {
  previous_tick_ = latest_tick_;
  latest_tick_ = clock_.now();
  const Micros delay = latest_tick_ - previous_tick_ - kTickInterval;
  if (delay > kTolerance) {
    on_delay(delay);
  }
}

// Another tick in the next turn of the loop ends the time in which all input counts as late.
void EventLoopLag::on_delay(Micros delay) {
  ++delays_;
  max_delay_ = std::max(max_delay_, delay);
  timers_.after(0, [this] { tick(); });
  if (log_limit_.try_log(latest_tick_)) {
    std::cerr << "event loop: late by " << delay / kMicrosPerMillisecond
              << " ms; requests read until then may have arrived that much earlier\n";
  }
}

}  // namespace quota_gateway::net
