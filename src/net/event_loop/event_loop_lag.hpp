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
// there before the last tick but one. After a delay it ticks in each of some turns: until then it
// reads what has arrived during the delay.
class EventLoopLag {
 public:
  // Time between two ticks of a loop that is not late.
  static constexpr Micros kTickInterval = 100'000;  // us
  // A loop that is late by no more than this is taken for one that is not late.
  static constexpr Micros kTolerance = 150'000;  // us
  // Turns of the loop that may pass between a delay and the read of input that arrived during it:
  // its connection is accepted, and is found to be readable after that.
  static constexpr int kTurnsUntilRead = 4;

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
  void tick_in_next_turn();

  Timers& timers_;
  const Clock& clock_;
  Micros latest_tick_;
  Micros previous_tick_;
  Micros delayed_since_ = 0;  // the last tick but one before the latest delay
  int late_turns_ = 0;        // turns that may still read input of that delay
  bool ticks_in_next_turn_ = false;
  std::uint64_t delays_ = 0;
  Micros max_delay_ = 0;
  LogRateLimit log_limit_;
};

}  // namespace quota_gateway::net
