// All timers of one gateway process, on one timer of the event loop. GatewayServer owns them; every
// module of src/net sets its own.
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

// Each callback runs once, from the event loop, at its own time: rounded up to a grid of 10 ms,
// which would spare wake-ups, requests left the hold queue late and an overloaded day lost 0.013 of
// its score. There is no cancelling; a callback checks whether what it is for still matters.
class Timers {
 public:
  // `clock` must outlive the timers, and they their last callback.
  Timers(boost::asio::io_context& io, const Clock& clock);

  // Calls `callback` at the time `when` of the clock or, if that has passed, in the next turn of
  // the loop; in order of their times, and equal times in the order in which they were set. May be
  // called from within a callback. An exception of a callback is logged and stops no other one.
  void at(Micros when, std::function<void()> callback);
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
  std::vector<Entry> heap_;  // the earliest in front
  std::uint64_t last_sequence_number_ = 0;
  std::optional<Micros> wakeup_at_;  // none: no wake-up is pending
};

}  // namespace quota_gateway::net
