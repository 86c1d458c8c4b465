// All timers of one gateway process, multiplexed on one timer of the event loop. Owned by
// GatewayServer; every module of src/net sets timers here.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "net/event_loop/clock.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Each callback runs to its end at most once, from the event loop. Times are not rounded: rounding
// them up to a multiple of 10 ms would save wake-ups, but requests then left the hold queue late,
// which lowered the score of an overloaded day by 0.013.
class Timers {
  // Timers with equal times run in the order in which they were set.
  struct Key {
    Micros when = 0;
    std::uint64_t sequence_number = 0;
    bool operator<(const Key& other) const {
      return when != other.when ? when < other.when : sequence_number < other.sequence_number;
    }
  };

 public:
  // A timer that its owner can cancel. Cancels the timer when it is destroyed or replaced. The
  // timers must outlive it.
  class Handle {
   public:
    Handle() = default;
    Handle(Handle&& other) noexcept;
    Handle& operator=(Handle&& other) noexcept;
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;
    ~Handle() { cancel(); }

    // Frees the callback of the timer, unless the timer has fired or is firing. A callback that is
    // due at the same time as the caller's may run after cancel(), so it must check whether it is
    // still needed.
    void cancel();

   private:
    friend class Timers;
    Handle(Timers& timers, Key key) : timers_(&timers), key_(key) {}

    Timers* timers_ = nullptr;  // null: there is no timer
    Key key_;
  };

  // `clock` must outlive the timers, and the timers must outlive their last callback.
  Timers(boost::asio::io_context& io, const Clock& clock);

  // Calls `callback` when the clock reaches `when`, or in the next iteration of the event loop if
  // that time has passed. Callbacks run in the order of their times; callbacks with equal times run
  // in the order in which they were set. May be called from within a callback. An exception of a
  // callback is logged and doesn't affect other callbacks; the callback is called again after 10
  // ms, 20 times at most. The timer can't be cancelled; the callback must check whether it is still
  // needed.
  void at(Micros when, std::function<void()> callback);
  // Calls `callback` once `delay` has passed, see at().
  void after(Micros delay, std::function<void()> callback);
  // Calls `callback` every `interval` from now on, first once it has passed. Goes on whatever an
  // exception or a lack of memory prevents: the timer is set again before each call.
  void every(Micros interval, std::function<void()> callback);
  // Like at(), for a timer that its owner may cancel.
  [[nodiscard]] Handle cancellable_at(Micros when, std::function<void()> callback);

  // Number of timers that have neither fired nor been cancelled.
  std::size_t size() const { return pending_.size() + due_.size(); }

  // Whether the event loop wakes up for the earliest timer.
  bool is_wakeup_set() const { return pending_.empty() || wakeup_at_.has_value(); }
  // Takes up again what an exception has prevented: runs the timers that are overdue and makes sure
  // that the event loop wakes up for the others. Returns whether there was something to take up.
  bool resume();

 private:
  struct Timer {
    std::function<void()> callback;
    Micros interval = 0;  // 0: the timer fires once
    int failures = 0;     // calls that an exception has ended
  };
  using Schedule = std::map<Key, Timer>;

  Key add(Micros when, Timer timer);
  void schedule_wakeup();
  void run_due();
  void run(Schedule::node_type node);
  void run_once(Schedule::node_type node);

  const Clock& clock_;
  boost::asio::steady_timer wakeup_;
  Schedule pending_;
  Schedule due_;  // fire now, before any timer that is set meanwhile
  std::uint64_t last_sequence_number_ = 0;
  // No wake-up comes before this time, so that what has failed is not called at once again.
  Micros retry_at_ = 0;
  std::optional<Micros> wakeup_at_;  // nullopt if no wake-up is pending
};

}  // namespace quota_gateway::net
