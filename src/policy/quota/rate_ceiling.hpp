// Enforces the hard limit on units forwarded for a customer, whether or not they are within its
// quota. Each gateway has an even share of one part of the ceiling and may reserve units of the
// other part from a shared pool (see shared_pool.hpp). The gateway owns one RateCeiling and
// consults it before each first attempt.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Checks and charges forwarded units against customers' ceilings.
class RateCeiling {
 public:
  // `settings` must outlive this object; they may change.
  explicit RateCeiling(const Settings& settings) : settings_(settings) {}

  // Refills this gateway's share up to `now` by the present plan and number of gateways. Must be
  // called before either changes. Does nothing if the plan has no ceiling.
  void refill(Micros now, CustomerState& customer) const;

  // Whether `units` may be forwarded now. Refills the share but takes nothing.
  bool admits(Micros now, CustomerState& customer, double units) const;

  // Takes `units` if they may be forwarded now, first from the reservation and then from the share.
  // Returns whether it took them.
  bool try_acquire(Micros now, CustomerState& customer, double units) const;

  // Returns the time until this gateway's share will hold `units`, us, or until the next window if
  // the present window's pool is exhausted and the next window is sooner. The plan must have a
  // ceiling, and the share must have been refilled up to `now`.
  Micros time_until_available(Micros now, const CustomerState& customer, double units) const;

 private:
  // Returns this gateway's even share as a fraction of the full ceiling.
  double share(const CustomerState& customer) const;

  const Settings& settings_;
};

}  // namespace quota_gateway::policy
