// Pools that all gateways of an owner share through the counter. Under a name for the owner and
// this window each gateway adds what it wants, and what lies within the window's pool is its own
// until the window ends. Keeps the books of names, windows and units; who draws on what and how
// much is decided in policy/.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "util/hash.hpp"

namespace quota_gateway {

// Units drawn, good in `window` alone.
struct PoolReservation {
  double reserved = 0;
  std::int64_t window = 0;
  bool drained = false;              // nothing is left there in `window`
  bool drawing = false;              // a draw is on its way; its owner has to stay meanwhile
  std::vector<std::string> waiting;  // requests that wait for it
};

// An owner has a `key` that is the same at all gateways.
template <typename Owner>
struct SharedPool {
  PoolReservation Owner::*drawn = nullptr;
  std::uint64_t names = 0;  // sets its names apart from others
  double size = 0;          // units a window
  Micros length = 1;        // of a window; us

  // All gateways change windows at once, at times spread over the owners.
  Micros since(Micros now, const Owner& o) const {
    return (now + Micros(o.key % std::uint64_t(length))) % length;
  }
  std::int64_t window(Micros now, const Owner& o) const {
    return (now + Micros(o.key % std::uint64_t(length))) / length + 1;
  }
  double reserved(Micros now, const Owner& o) const {
    return (o.*drawn).window == window(now, o) ? (o.*drawn).reserved : 0;
  }
  bool drained(Micros now, const Owner& o) const {
    return (o.*drawn).window == window(now, o) && (o.*drawn).drained;
  }
};

template <typename Owner>
class PoolLedger {
 public:
  struct Answer {
    Owner* owner = nullptr;  // null: the call was none of ours
    SharedPool<Owner> pool;
    double amount = 0;
    bool counts = false;  // Danger: what may or may not have been added is not used
  };

  // Whether there is an answer to wait for.
  template <typename MayCall>
  bool draw(Micros now, Owner& o, const SharedPool<Owner>& pool, double amount, MayCall may_call,
            std::vector<Action>& out) {
    PoolReservation& d = o.*pool.drawn;
    if (d.drawing) {
      return true;
    }
    if (pool.drained(now, o) || !may_call()) {
      return false;
    }
    const std::int64_t w = pool.window(now, o);
    if (std::exchange(d.window, w) != w) {
      d.reserved = 0, d.drained = false;
    }
    const auto name = std::int64_t(mix(o.key ^ mix(pool.names ^ std::uint64_t(w))) >> 2);
    pending_[name] = {&o, pool, amount};
    d.drawing = true;
    out.emplace_back(AddToCounter{name, amount, std::max<Micros>(1'000'000, 2 * pool.length)});
    return true;
  }

  Answer answered(Micros now, const CounterReply& a) {
    const auto call = pending_.extract(a.name);
    if (call.empty()) {
      return {};
    }
    Answer r = call.mapped();
    PoolReservation& d = r.owner->*r.pool.drawn;
    d.drawing = false;
    r.counts = a.outcome == CounterOutcome::kOk && d.window == r.pool.window(now, *r.owner);
    if (!r.counts) {
      return r;
    }
    const double over = std::max(0.0, a.total - r.pool.size);
    d.reserved += std::max(0.0, r.amount - over);
    d.drained = over > 0;
    return r;
  }

 private:
  std::unordered_map<std::int64_t, Answer> pending_;  // looked up by name, never walked
};

}  // namespace quota_gateway
