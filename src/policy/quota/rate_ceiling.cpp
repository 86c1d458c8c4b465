#include "policy/quota/rate_ceiling.hpp"

#include <algorithm>

#include "policy/quota/shared_pool.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {

double RateCeiling::share(const CustomerState& customer) const {
  return (settings_.has_counter ? kCeilingEvenFraction : 1) / customer.gateway_subset_size;
}

void RateCeiling::refill(Micros now, CustomerState& customer) const {
  const PlanSettings& plan = *customer.plan;
  if (plan.ceiling_rate <= 0) {
    return;
  }
  CeilingShare& ceiling = customer.ceiling;
  const double filled =
      share(customer) * plan.ceiling_rate * double(now - ceiling.refilled_at) / kMicrosPerSecond;
  ceiling.units = std::min(share(customer) * plan.ceiling_burst, ceiling.units + filled);
  ceiling.refilled_at = now;
}

bool RateCeiling::admits(Micros now, CustomerState& customer, double units) const {
  const PlanSettings& plan = *customer.plan;
  if (plan.ceiling_rate <= 0) {
    return true;
  }
  refill(now, customer);
  return customer.ceiling.units + ceiling_pool(plan).reserved(now, customer) >= units;
}

bool RateCeiling::try_acquire(Micros now, CustomerState& customer, double units) const {
  if (!admits(now, customer, units)) {
    return false;
  }
  const PlanSettings& plan = *customer.plan;
  if (plan.ceiling_rate > 0) {
    const double from_pool = std::min(ceiling_pool(plan).reserved(now, customer), units);
    customer.ceiling_reservation.units -= from_pool;
    customer.ceiling.units -= units - from_pool;
  }
  return true;
}

Micros RateCeiling::time_until_available(Micros now, const CustomerState& customer,
                                         double units) const {
  const PlanSettings& plan = *customer.plan;
  const double fill_rate = share(customer) * plan.ceiling_rate;
  const double missing = std::max(0.0, units - customer.ceiling.units);
  const auto until_filled = Micros(missing / fill_rate * kMicrosPerSecond);
  if (!settings_.has_counter || !customer.ceiling_reservation.exhausted) {
    return until_filled;
  }
  const SharedPool pool = ceiling_pool(plan);
  return std::min(until_filled, pool.window_length - pool.elapsed(now, customer));
}

}  // namespace quota_gateway::policy
