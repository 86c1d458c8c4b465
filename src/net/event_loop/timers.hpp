// The clock and the timers of one gateway.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <iostream>
#include <random>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Starts from the system clock, so that gateways share periods and a server's start time fits, and
// advances by the steady one, so that time never goes back when the system clock is set.
class Clock {
 public:
  Micros now() const { return wall_ + micros(std::chrono::steady_clock::now() - steady_); }

 private:
  template <typename Duration>
  static Micros micros(Duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  }
  Micros wall_ = micros(std::chrono::system_clock::now().time_since_epoch());
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
};

// How long to wait before each further try. Danger: what was started, or lost something, at one
// moment with many others would go on trying at the same moments with them; so each wait is drawn,
// from nought up to a time that grows fourfold. Danger: with one that doubles up to 1 s, a fleet
// that was turned away asked on at a rate that kept discovery's line full, and none of it was ever
// served.
class Backoff {
 public:
  Backoff(Micros first, Micros most, std::uint64_t seed)
      : first_(first), most_(most), random_(seed) {}
  Micros next() {
    const Micros up_to = up_to_;
    up_to_ = std::min(4 * up_to_, most_);
    return std::uniform_int_distribution<Micros>(0, up_to)(random_);
  }
  void reset() { up_to_ = first_; }

 private:
  const Micros first_, most_;
  std::mt19937_64 random_;
  Micros up_to_ = first_;
};

// Runs `what`; an exception is logged and goes no further, so that what comes after it still runs.
template <typename What>
void guarded(const char* where, const What& what) {
  try {
    what();
  } catch (const std::exception& e) {
    std::cerr << where << ": " << e.what() << '\n';
  }
}

// All timers on one kernel timer, each at its own time. Danger: the module looks at what it holds
// with every batch; on a grid of 10 ms, which spares wake-ups, held requests went out late and an
// overloaded day lost 0.013 of G. They are not taken back: what fires must check whether it still
// matters.
class Timers {
 public:
  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  void at(Micros when, std::function<void()> what);
  void after(Micros delay, std::function<void()> what) {
    at(clock_.now() + delay, std::move(what));
  }

 private:
  struct Entry {
    Micros when;
    std::uint64_t order;  // equal times fire in the order in which they were set
    std::function<void()> what;
    bool operator<(const Entry& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  void arm();
  void fire();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> heap_;
  std::uint64_t order_ = 0;
  Micros armed_for_ = 0;  // 0: not armed
};

}  // namespace quota_gateway::net
