#include "policy/quota/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Smoothing of own demand, in seconds. It shows a spike before any counter total does.
constexpr double kOwnDemandSeconds = 2;

// Limits of the smoothing of others' demand, in seconds; the longest holds for a deep burst too.
constexpr double kLeastSmoothingSeconds = 1.0;
constexpr double kMostSmoothingSeconds = 5;

// Requests of the present size that the credit of a slice past the quota may save up for.
constexpr double kMostCreditRequests = 2;

// Where more than the quota is asked, all reservations together add up to so many times the quota.
constexpr double kReservationTarget = 1.5;

// Least fraction of a sparse customer's requests that try to reserve units.
constexpr double kLeastSampledFraction = 0.02;

constexpr double kLeastRate = 1e-9;  // units a second; keeps divisions defined

// Credits this gateway's slice, the quota times own demand over all demand, for a request's units.
// What the store has filled in is subtracted: credit comes with demand itself, also for one request
// an hour. Demand grows with each request, hence the logarithms (the integral over that growth):
// paid by the demand before it, large requests got a tenth more than the slice.
void credit_slice(CustomerState& customer, double units) {
  const Demand& demand = customer.demand;
  const double quota = customer.quota_rate;
  const double free_rate = std::max(0.0, quota - demand.others);
  const double own_after = demand.own + units / kOwnDemandSeconds;
  const double by_store = demand.own > 0 ? free_rate * std::log(own_after / demand.own) : 0;
  const double slice =
      quota * std::log((own_after + demand.others) / (demand.own + demand.others)) - by_store;
  LocalBudget& budget = customer.budget;
  budget.slice_credit += std::clamp(kOwnDemandSeconds * slice, 0.0, units);
  budget.slice_credit = std::min(budget.slice_credit, kMostCreditRequests * units);
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

  // Not filled by an own share: a hundredth of a store holds less than a request, so that all
  // gateways see the whole one.
  const double before = budget.tokens;
  const double debt = std::min(budget.tokens, 0.0);
  const double filled = budget.tokens + (customer.quota_rate - demand.others) * elapsed;
  budget.tokens = std::min(token_capacity(customer), std::max(debt, filled));
  budget.own_allowance += std::max(0.0, budget.tokens - before);

  // What an empty store can't give, others did not get.
  customer.counter_total.assumed_others += before + customer.quota_rate * elapsed - budget.tokens;
}

void record_demand(Micros now, CustomerState& customer, double units) {
  advance_estimates(now, customer);
  const Demand& demand = customer.demand;
  const bool past_quota = demand.own + demand.others > customer.quota_rate;
  if (customer.counter_total.trusted_at && customer.budget.tokens < units && past_quota) {
    credit_slice(customer, units);
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
  // Known unit error, kept until its mending is measured: this is in units per microsecond, the
  // rates are per second. So `fraction` stays 1, and others' demand is taken as 0.
  const double asked = total / elapsed;
  double& fraction = customer.sampling.fraction;
  customer.demand.others = std::max(0.0, asked / fraction - customer.demand.own);
  fraction = std::clamp(fraction * kReservationTarget * customer.quota_rate / asked,
                        kLeastSampledFraction, 1.0);
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
    return own / std::max(all, kLeastRate);
  }
  return (own + (quota - all) / customer.gateway_subset_size) / quota;
}

double demand_smoothing_seconds(const CustomerState& customer) {
  return std::clamp(quota_burst(customer) / std::max(customer.quota_rate, kLeastRate),
                    kLeastSmoothingSeconds, kMostSmoothingSeconds);
}

}  // namespace quota_gateway::policy
