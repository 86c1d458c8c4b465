// How late the event loop handles events. While a step takes long, or the process gets no processor
// or is stopped, input waits in the system, and the gateway does not see when it arrived. Owned by
// ClientListener.
#pragma once

#include <cstdint>

#include "net/event_loop/log_rate_limit.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Ticks in the event loop. The loop looks for input between any two ticks, so what it finds was not
// there before the last tick but one.
class EventLoopLag {
 public:
  // Time between two ticks of a loop that is not late.
  static constexpr Micros kTickInterval = 100'000;  // us
  // A loop that is late by no more than this is taken for one that is not late.
  static constexpr Micros kTolerance = 150'000;  // us

  // Both arguments must outlive this object, and the event loop must not run after it.
  EventLoopLag(Timers& timers, const Clock& clock);
  EventLoopLag(const EventLoopLag&) = delete;
  EventLoopLag& operator=(const EventLoopLag&) = delete;

  // The earliest time at which input that is read now can have arrived: now, or earlier if the loop
  // is late.
  Micros earliest_arrival() const;

  // Number of times that the loop was late, and the longest of these, in microseconds.
  std::uint64_t delays() const { return delays_; }
  Micros max_delay() const { return max_delay_; }

 private:
  void tick();
  void on_delay(Micros delay);

  Timers& timers_;
  const Clock& clock_;
  Micros latest_tick_;
  Micros previous_tick_;
  std::uint64_t delays_ = 0;
  Micros max_delay_ = 0;
  LogRateLimit log_limit_;
};

}  // namespace quota_gateway::net
