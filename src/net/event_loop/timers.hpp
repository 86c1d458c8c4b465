// All timers of one gateway process, multiplexed on one timer of the event loop. Owned by
// GatewayServer; every module of src/net sets timers here.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "net/event_loop/clock.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Each callback runs once, from the event loop. Times are not rounded: rounding them up to a
// multiple of 10 ms would save wake-ups, but requests then left the hold queue late, which lowered
// the score of an overloaded day by 0.013. Timers can't be cancelled; a callback must check whether
// it is still needed.
class Timers {
 public:
  // `clock` must outlive the timers, and the timers must outlive their last callback.
  Timers(boost::asio::io_context& io, const Clock& clock);

  // Calls `callback` when the clock reaches `when`, or in the next iteration of the event loop if
  // that time has passed. Callbacks run in the order of their times; callbacks with equal times run
  // in the order in which they were set. May be called from within a callback. An exception of a
  // callback is logged and doesn't affect other callbacks.
  void at(Micros when, std::function<void()> callback);
  // Calls `callback` once `delay` has passed, see at().
  void after(Micros delay, std::function<void()> callback);

 private:
  struct Entry {
    Micros when;
    std::uint64_t sequence_number;
    std::function<void()> callback;
  };

  static bool is_later(const Entry& left, const Entry& right);
  void schedule_wakeup();
  void run_due();

  const Clock& clock_;
  boost::asio::steady_timer wakeup_;
  std::vector<Entry> heap_;  // the earliest entry is in front
  std::uint64_t last_sequence_number_ = 0;
  std::optional<Micros> wakeup_at_;  // nullopt if no wake-up is pending
};

}  // namespace quota_gateway::net
