// Pools of units that all gateways of a customer share through the counter: a part of its rate
// ceiling, and the quota of a sparse customer. Under a name for the customer and the present window
// each gateway adds what it wants; what lies within the window's pool is reserved for that gateway
// until the window ends. The gateway decides who reserves how much; this keeps names, windows, and
// units.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/quota/counter_rate_limiter.hpp"
#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// One customer's pool, as its plan defines it. Values, cheap to make.
struct SharedPool {
  PoolKind kind = PoolKind::kQuota;
  double units_per_window = 0;
  Micros window_length = 1;

  // Us since the present window began.
  Micros elapsed(Micros now, const CustomerState& customer) const;
  // The number of the present window; all gateways count alike.
  std::int64_t window(Micros now, const CustomerState& customer) const;
  // Units that this gateway has left of its reservation in the present window.
  double reserved(Micros now, const CustomerState& customer) const;
  // Whether the counter said that nothing is left in the present window.
  bool exhausted(Micros now, const CustomerState& customer) const;
};

// The fraction of a rate ceiling that is split evenly over the gateways; the rest is the shared
// pool. The ceiling is a hard rule, and no total is young enough to show what others forward at
// this moment. Even shares alone would reject a customer inside its quota that comes through one
// gateway, or that is new to this one: a share starts empty, since an earlier process may have
// spent it.
constexpr double kCeilingEvenFraction = 0.5;

// The pool of a plan with a rate ceiling.
SharedPool ceiling_pool(const PlanSettings& plan);
// The pool of a plan with a quota rate, for its sparse customers.
SharedPool quota_pool(const PlanSettings& plan);

// A reply of the counter about a reservation.
struct PoolReply {
  CustomerState* customer = nullptr;
  SharedPool pool;
  // The reply is good and of the present window. Otherwise the units may or may not have been
  // added, and the reservation is unchanged.
  bool is_usable = false;
};

// The reservations that are on their way. The gateway owns one.
class PoolLedger {
 public:
  // `limiter` must outlive this.
  explicit PoolLedger(CounterRateLimiter& limiter) : limiter_(limiter) {}

  // Appends a call that reserves `units`, unless one is in flight already, the pool is exhausted or
  // the limiter has no call within `overdraft_seconds`. Returns whether there is a reply to wait
  // for. The customer must stay where it is until then.
  bool reserve(Micros now, CustomerState& customer, const SharedPool& pool, double units,
               double overdraft_seconds, std::vector<Action>& actions);

  // Adds what the reply reserved. None if it answers no reservation.
  std::optional<PoolReply> on_reply(Micros now, const CounterReply& reply);

 private:
  struct PendingReservation {
    CustomerState* customer = nullptr;
    SharedPool pool;
    double units = 0;
  };

  CounterRateLimiter& limiter_;
  std::unordered_map<std::int64_t, PendingReservation> pending_;  // by name; never iterated
};

}  // namespace quota_gateway::policy
