// Pools of units that all gateways of a customer share through the counter: a part of its rate
// ceiling, and the quota of a sparse customer. To reserve units, a gateway adds them to the counter
// key of the customer and the present window. The units within the window's pool are then reserved
// for that gateway until the window ends. Callers decide which requests reserve how many units;
// this module manages keys, windows and reserved units.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/quota/counter_rate_limiter.hpp"
#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// A customer's pool as the plan defines it. A plain value, cheap to create.
struct SharedPool {
  PoolKind kind = PoolKind::kQuota;
  double units_per_window = 0;
  Micros window_length = 1;

  // Returns the time since the present window began, us.
  Micros elapsed(Micros now, const CustomerState& customer) const;
  // Returns the number of the present window, which is the same at all gateways.
  std::int64_t window(Micros now, const CustomerState& customer) const;
  // Returns the remaining units of this gateway's reservation in the present window.
  double reserved(Micros now, const CustomerState& customer) const;
  // Whether the counter's total showed that the present window's pool has no units left.
  bool exhausted(Micros now, const CustomerState& customer) const;
};

// The fraction of a rate ceiling that is split evenly over the gateways; the rest is the shared
// pool. The ceiling is not allocated by demand, since it is a hard limit and no total is recent
// enough to show the units that others forward at this moment. With even shares alone, a customer
// within its quota would be rejected if it uses only one gateway or is new to a gateway: a share
// starts empty, since an earlier process may have spent it.
constexpr double kCeilingEvenFraction = 0.5;

// Returns the pool of a plan with a rate ceiling.
SharedPool ceiling_pool(const PlanSettings& plan);
// Returns the pool of a plan with a quota rate, for its sparse customers.
SharedPool quota_pool(const PlanSettings& plan);

// The counter's reply to a reservation.
struct PoolReply {
  CustomerState* customer = nullptr;
  SharedPool pool;
  // Whether the call succeeded and the reply is for the present window. Otherwise the counter may
  // or may not have added the units, and the reservation is unchanged.
  bool is_usable = false;
};

// The reservations in flight. Admission owns one PoolLedger.
class PoolLedger {
 public:
  // `limiter` must outlive this object.
  explicit PoolLedger(CounterRateLimiter& limiter) : limiter_(limiter) {}

  // Appends a call that reserves `units`, unless one is already in flight, the pool is exhausted or
  // the limiter has no call within `overdraft_seconds`. Returns whether a call is in flight. The
  // customer's address must not change until its reply.
  bool reserve(Micros now, CustomerState& customer, const SharedPool& pool, double units,
               double overdraft_seconds, std::vector<Action>& actions);

  // Adds the units that the reply reserved. Returns none if the reply is not to a reservation.
  std::optional<PoolReply> on_reply(Micros now, const CounterReply& reply);

 private:
  struct PendingReservation {
    CustomerState* customer = nullptr;
    SharedPool pool;
    double units = 0;
  };

  CounterRateLimiter& limiter_;
  std::unordered_map<std::int64_t, PendingReservation> pending_;  // by counter key; never iterated
};

}  // namespace quota_gateway::policy
