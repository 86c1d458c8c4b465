// What lists that come to nothing may cost: how much of the next one may be read, and when to ask
// for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// Memory in bytes, times in us. Together a lasting fault costs under 2 KB a second once waits have
// grown: two times `rate`, and a call with its answer's first bytes each 2 to 4 s.
struct ListLimits {
  std::size_t memory = 32 << 20;  // that the members of one list may take
  std::size_t free =
      4 << 20;        // bytes of failed lists that change nothing; they come back at `rate`
  int unended = 8;    // lists on end that stop or trickle and change nothing
  double rate = 400;  // bytes a second
  Micros first_wait = 4'000'000, most_between = 4'000'000;
  std::size_t peek = 1024;       // bytes of a list: enough to see what it is
  std::size_t small = 64 << 10;  // of one of some hundred servers
};

// Part of the memory in the configuration's `limits`: while a list comes, the one in force stays.
inline ListLimits list_limits_for_memory(std::size_t memory_mb) {
  ListLimits limits;
  limits.memory = (memory_mb << 20) / 6;
  return limits;
}

// While the fault lasts, three kinds of tries go on. Often: what changed since the list in force,
// of which only so much is read that a whole list shows itself as one. Seldom, with waits that
// double up to what `rate` gives: a small list, and one of any size. So a change that comes as one
// counts as ever, and a fault that is over is seen after no more than about the time that it took,
// of a small list within minutes.
class ListRetryPolicy {
 public:
  static constexpr std::size_t kAll = std::numeric_limits<std::size_t>::max();
  enum class Cause { kBroken, kUnended, kTooLarge };

  ListRetryPolicy(const ListLimits& limits, std::uint64_t seed) : limits_(limits), random_(seed) {
    succeeded(true);
  }

  bool faulty() const { return wasted_ > double(limits_.free) || unended_ >= limits_.unended; }
  // Bytes of a whole list that may be read now.
  std::size_t most(Micros now) const {
    if (!faulty() || now >= all_.next) {
      return kAll;
    }
    return now >= small_.next ? limits_.small : limits_.peek;
  }
  // `most`: what it was for this list.
  void failed(std::size_t bytes, std::size_t most, Cause cause, Micros now) {
    const double cost = double(std::max(bytes, kLeast));
    if (most > limits_.peek) {
      wasted_ = std::max(0.0, wasted_ - double(now - failed_at_) / 1e6 * limits_.rate) + cost;
      failed_at_ = now;
      unended_ = cause == Cause::kUnended ? unended_ + 1 : 0;
    }
    // What broke off may be whole the next moment; what is too large will be so again.
    const Micros first = cause == Cause::kTooLarge ? limits_.first_wait : kSoon;
    // One that failed within what may be read of a small one would have failed in any case.
    if (most == kAll || (most > limits_.peek && bytes < most)) {
      put_off(all_, first, cost, now);
    }
    if (most > limits_.peek) {
      put_off(small_, first, std::min(cost, double(limits_.small)), now);
    }
    // Small ones have tries of their own only once those of any size are further apart.
    if (all_.wait <= small_.wait) {
      small_.next = all_.next;
    }
  }
  void succeeded(bool whole) {
    unended_ = 0;
    if (!whole) {
      return;
    }
    wasted_ = 0;
    between_ = kSoon;
    all_ = small_ = {};
  }
  // Until the next call. Danger: many may have the same fault; the waits are drawn, so that they
  // don't call together.
  Micros wait(Micros now) {
    between_ = std::min(2 * between_, limits_.most_between);
    return std::min(drawn(between_), std::max<Micros>(0, std::min(all_.next, small_.next) - now));
  }

 private:
  struct Kind {
    Micros wait = 0, next = 0;
  };
  static constexpr Micros kSoon = 60'000;
  static constexpr std::size_t kLeast = 1600;  // bytes of a call and the first of its answer

  Micros drawn(Micros most) {
    return std::uniform_int_distribution<Micros>(most / 2, most)(random_);
  }
  void put_off(Kind& kind, Micros first, double cost, Micros now) {
    kind.wait = std::min(std::max(first, 2 * kind.wait), Micros(cost / limits_.rate * 1e6));
    kind.next = now + kind.wait + drawn(kind.wait) / 2;
  }

  const ListLimits limits_;
  std::mt19937_64 random_;
  double wasted_ = 0;  // bytes
  Micros failed_at_ = 0, between_ = 0;
  int unended_ = 0;
  Kind all_, small_;
};

}  // namespace quota_gateway::net
