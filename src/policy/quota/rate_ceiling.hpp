// Holds the hard limit on units that are forwarded for a customer, inside its quota or not. A
// gateway has an even share of a part of it and may reserve the rest from a shared pool (see
// shared_pool.hpp). The gateway owns one and asks it before each first attempt.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

class RateCeiling {
 public:
  // `settings` must outlive this; they may change.
  explicit RateCeiling(const Settings& settings) : settings_(settings) {}

  // Fills this gateway's share up to `now`, by the present plan and number of gateways. To be
  // called before either changes. Does nothing without a ceiling in the plan.
  void refill(Micros now, CustomerState& customer) const;

  // Whether `units` may be forwarded now. Fills the share; takes nothing.
  bool admits(Micros now, CustomerState& customer, double units) const;

  // Takes `units` if they may be forwarded now: first those reserved from the pool.
  bool try_acquire(Micros now, CustomerState& customer, double units) const;

  // Us until this gateway's share will hold `units`, or a new window has a pool to reserve from.
  // The plan must have a ceiling, and the share be filled up to `now`.
  Micros time_until_available(Micros now, const CustomerState& customer, double units) const;

 private:
  // This gateway's part of the whole ceiling.
  double share(const CustomerState& customer) const;

  const Settings& settings_;
};

}  // namespace quota_gateway::policy
