#include "policy/quota/shared_pool.hpp"

#include <algorithm>

#include "policy/quota/counter_key.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Units per window of a quota's pool, as a fraction of the burst.
constexpr double kQuotaPoolBurstFraction = 1;

// Time to live of a pool's counter key, in windows, and its minimum.
constexpr Micros kKeyTimeToLiveWindows = 2;
constexpr Micros kMinKeyTimeToLive = 1'000'000;  // us

CounterSeries series_of(PoolKind kind) {
  return kind == PoolKind::kCeiling ? CounterSeries::kCeilingPool : CounterSeries::kQuotaPool;
}

// Returns the time in which `rate` (units per second) refills `units`, us; at least 1.
Micros time_to_fill(double units, double rate) {
  return std::max<Micros>(1, Micros(units / rate * kMicrosPerSecond));
}

}  // namespace

Micros SharedPool::elapsed(Micros now, const CustomerState& customer) const {
  return (now + window_phase(customer.key, window_length)) % window_length;
}

std::int64_t SharedPool::window(Micros now, const CustomerState& customer) const {
  // Window numbers start at 1. The number is part of the counter key.
  return (now + window_phase(customer.key, window_length)) / window_length + 1;
}

double SharedPool::reserved(Micros now, const CustomerState& customer) const {
  const PoolReservation& reservation = customer.reservation(kind);
  return reservation.window == window(now, customer) ? reservation.units : 0;
}

bool SharedPool::exhausted(Micros now, const CustomerState& customer) const {
  const PoolReservation& reservation = customer.reservation(kind);
  return reservation.window == window(now, customer) && reservation.exhausted;
}

// A period t overlaps at most t / window_length + 2 windows. With a window length of half the burst
// divided by the rate, the pools of these windows hold no more than the pool's part of the ceiling
// allows in t.
SharedPool ceiling_pool(const PlanSettings& plan) {
  return {PoolKind::kCeiling, (1 - kCeilingEvenFraction) * plan.ceiling_burst / 2,
          time_to_fill(plan.ceiling_burst / 2, plan.ceiling_rate)};
}

SharedPool quota_pool(const PlanSettings& plan) {
  const double units = kQuotaPoolBurstFraction * plan.quota_burst;
  return {PoolKind::kQuota, units, time_to_fill(units, plan.quota_rate)};
}

bool PoolLedger::reserve(Micros now, CustomerState& customer, const SharedPool& pool, double units,
                         double overdraft_seconds, std::vector<Action>& actions) {
  PoolReservation& reservation = customer.reservation(pool.kind);
  if (reservation.in_flight) {
    return true;
  }
  if (pool.exhausted(now, customer) || !limiter_.try_acquire(now, overdraft_seconds)) {
    return false;
  }
  const std::int64_t window = pool.window(now, customer);
  if (reservation.window != window) {
    reservation.window = window;
    reservation.units = 0;
    reservation.exhausted = false;
  }
  const std::int64_t key = counter_key(customer.key, series_of(pool.kind), window);
  pending_[key] = {&customer, pool, units};
  reservation.in_flight = true;
  const Micros key_time_to_live =
      std::max<Micros>(kMinKeyTimeToLive, kKeyTimeToLiveWindows * pool.window_length);
  actions.emplace_back(AddToCounter{key, units, key_time_to_live});
  return true;
}

std::optional<PoolReply> PoolLedger::on_reply(Micros now, const CounterReply& reply) {
  const auto call = pending_.extract(reply.key);
  if (call.empty()) {
    return std::nullopt;
  }
  const PendingReservation& pending = call.mapped();
  const SharedPool& pool = pending.pool;
  CustomerState& customer = *pending.customer;
  PoolReservation& reservation = customer.reservation(pool.kind);
  reservation.in_flight = false;
  const bool is_usable =
      reply.outcome == CounterOutcome::kOk && reservation.window == pool.window(now, customer);
  if (is_usable) {
    const double excess = std::max(0.0, reply.total - pool.units_per_window);
    reservation.units += std::max(0.0, pending.units - excess);
    reservation.exhausted = excess > 0;
  }
  return PoolReply{&customer, pool, is_usable};
}

}  // namespace quota_gateway::policy
