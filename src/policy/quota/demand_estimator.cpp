#include "policy/quota/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Time constant of own demand, which shows a spike before any counter total does.
constexpr double kOwnDemandSeconds = 2;

// Limits of the time constant for others' demand. The maximum applies however large the burst is.
constexpr double kMinSmoothingSeconds = 1.0;
constexpr double kMaxSmoothingSeconds = 5;

// Maximum slice credit, in requests of the present size.
constexpr double kMaxCreditRequests = 2;

// When demand exceeds the quota, the sampled reservations of all gateways add up to this multiple
// of the quota.
constexpr double kReservationTarget = 1.5;

// Minimum fraction of a sparse customer's requests that try to reserve units.
constexpr double kMinSampledFraction = 0.02;

constexpr double kMinRate = 1e-9;  // units per second; avoids a division by zero

// Credits this gateway's slice, the quota times own demand over all demand, for a request's units.
// The part that the bucket's refill covers is subtracted. The credit depends on demand and not on
// time, so one request an hour earns it too. The logarithms integrate the slice over the growth of
// own demand by this request; the slice at the demand before the request credited large requests
// with a tenth too much.
void add_slice_credit(CustomerState& customer, double units) {
  const Demand& demand = customer.demand;
  const double quota = customer.quota_rate;
  const double free_rate = std::max(0.0, quota - demand.others);
  const double own_after = demand.own + units / kOwnDemandSeconds;
  const double refilled_part = demand.own > 0 ? free_rate * std::log(own_after / demand.own) : 0;
  const double slice =
      quota * std::log((own_after + demand.others) / (demand.own + demand.others)) - refilled_part;
  LocalBudget& budget = customer.budget;
  budget.slice_credit += std::clamp(kOwnDemandSeconds * slice, 0.0, units);
  budget.slice_credit = std::min(budget.slice_credit, kMaxCreditRequests * units);
}

}  // namespace

void advance_estimates(Micros now, CustomerState& customer) {
  const double elapsed = double(now - customer.estimated_at) / kMicrosPerSecond;
  if (elapsed <= 0) {
    return;
  }
  customer.estimated_at = now;
  Demand& demand = customer.demand;
  LocalBudget& budget = customer.budget;
  demand.own *= std::exp(-elapsed / kOwnDemandSeconds);

  // Each gateway tracks the tokens of the full quota. A bucket for its even share would be too
  // small: a hundredth of the bucket can hold less than one request.
  const double before = budget.tokens;
  const double debt = std::min(budget.tokens, 0.0);
  const double filled = budget.tokens + (customer.quota_rate - demand.others) * elapsed;
  budget.tokens = std::min(token_capacity(customer), std::max(debt, filled));
  budget.own_allowance += std::max(0.0, budget.tokens - before);

  // Others are assumed to have spent the refill that is not in the bucket. If the bucket is empty,
  // they cannot have spent more than the refill, even if their estimated demand is higher.
  customer.counter_total.assumed_others += before + customer.quota_rate * elapsed - budget.tokens;
}

void record_demand(Micros now, CustomerState& customer, double units) {
  advance_estimates(now, customer);
  const Demand& demand = customer.demand;
  const bool past_quota = demand.own + demand.others > customer.quota_rate;
  if (customer.counter_total.trusted_at && customer.budget.tokens < units && past_quota) {
    add_slice_credit(customer, units);
  }
  customer.demand.own += units / kOwnDemandSeconds;
  customer.unreported.units += units;
  customer.unreported.last_request_units = units;
  ++customer.unreported.requests;
}

void assume_even_demand(CustomerState& customer) {
  customer.demand.others = customer.quota_rate * (1 - 1.0 / customer.gateway_subset_size);
}

void record_pool_total(Micros now, CustomerState& customer, double total, double elapsed) {
  advance_estimates(now, customer);
  // Known error: this rate is in units per microsecond, while the other rates are per second. As a
  // result, `fraction` stays 1 and others' demand is estimated as 0. The error stays until the
  // effect of its correction has been measured.
  const double requested_rate = total / elapsed;
  double& fraction = customer.sampling.fraction;
  customer.demand.others = std::max(0.0, requested_rate / fraction - customer.demand.own);
  fraction = std::clamp(fraction * kReservationTarget * customer.quota_rate / requested_rate,
                        kMinSampledFraction, 1.0);
  const double burst = quota_burst(customer);
  customer.budget.tokens = std::clamp(burst - total, 0.0, burst);
  customer.budget.own_allowance = own_fraction(customer) * customer.budget.tokens;
  customer.counter_total.trusted_at = now;
}

double own_fraction(const CustomerState& customer) {
  const double own = customer.demand.own;
  const double all = own + customer.demand.others;
  const double quota = customer.quota_rate;
  if (all >= quota) {
    return own / std::max(all, kMinRate);
  }
  return (own + (quota - all) / customer.gateway_subset_size) / quota;
}

double demand_smoothing_seconds(const CustomerState& customer) {
  return std::clamp(quota_burst(customer) / std::max(customer.quota_rate, kMinRate),
                    kMinSmoothingSeconds, kMaxSmoothingSeconds);
}

}  // namespace quota_gateway::policy
