#include "policy/quota/counter_total_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"
#include "util/random.hpp"

namespace quota_gateway::policy {
namespace {

// Fraction of the quota that others are assumed to ask before any total is known.
constexpr double kUnknownOthersFraction = 0.5;

// While first totals are below this fraction of whole quotas, the counter itself is taken as new.
constexpr double kNewCounterFraction = 0.25;
// Fraction of the evidence for that which each first total keeps.
constexpr double kNewCounterEvidenceKept = 0.95;

// A total may fall short of the own additions by rounding alone.
constexpr double kRoundingTolerance = 0.999;

}  // namespace

void CounterTotalEstimator::on_total(Micros now, Micros gateway_started_at, CustomerState& customer,
                                     double total, double added) {
  CounterTotal& counter = customer.counter_total;
  counter.own_additions += added;
  const double increase = total - counter.value;
  const double seconds = observed_seconds(now, gateway_started_at, customer, increase);

  // Less than this gateway added itself proves that the counter lost its counts. Then the estimates
  // stay; only the base for the next total moves.
  if (increase >= counter.own_additions * kRoundingTolerance && seconds > 0) {
    apply(now, customer, increase, seconds, added);
  }
  counter.value = total;
  counter.read_at = now;
  counter.own_additions = 0;
  counter.assumed_others = 0;
}

// Seconds in which the total grew by `increase`. A total of a counter that was just emptied is
// younger than its name's epoch. One customer's total can't show that, those of all can: while they
// are small, no total is taken as older than this gateway.
double CounterTotalEstimator::observed_seconds(Micros now, Micros gateway_started_at,
                                               const CustomerState& customer, double increase) {
  const double seconds = double(now - customer.counter_total.read_at) / kMicrosPerSecond;
  if (customer.counter_total.value > 0) {
    return seconds;
  }
  quotas_since_last_read_ =
      kNewCounterEvidenceKept * quotas_since_last_read_ + customer.quota_rate * seconds;
  first_totals_ = kNewCounterEvidenceKept * first_totals_ + increase;
  if (first_totals_ < kNewCounterFraction * quotas_since_last_read_) {
    return std::min(seconds, double(now - gateway_started_at) / kMicrosPerSecond);
  }
  return seconds;
}

void CounterTotalEstimator::apply(Micros now, CustomerState& customer, double increase,
                                  double seconds, double added) {
  advance_estimates(now, customer);
  Demand& demand = customer.demand;
  LocalBudget& budget = customer.budget;
  const bool is_first = !customer.counter_total.trusted_at;
  if (is_first) {
    demand.others = kUnknownOthersFraction * customer.quota_rate;
  }

  // A smoothed rate shows a spike elsewhere when the store has long been spent there. So what was
  // asked beyond the assumption leaves the store at once, and what was not asked returns to it; up
  // to a second's debt, since others' calls are late too. Demand that others rejected is included.
  const double asked_by_others = increase - customer.counter_total.own_additions;
  if (!is_first) {
    const double lower_limit = std::min(budget.tokens, -customer.quota_rate);
    const double corrected =
        budget.tokens + customer.counter_total.assumed_others - asked_by_others;
    budget.tokens = std::min(token_capacity(customer), std::max(lower_limit, corrected));
  }
  demand.others += (1 - std::exp(-seconds / demand_smoothing_seconds(customer))) *
                   (asked_by_others / seconds - demand.others);
  if (is_first) {
    set_first_budget(customer, seconds, added);
  }
  budget.own_allowance = own_fraction(customer) * std::max(0.0, budget.tokens);
  customer.counter_total.trusted_at = now;
}

// The store starts as full as demand leaves it. With nothing left, a gateway's first request passes
// as often as its slice says, in place of never.
void CounterTotalEstimator::set_first_budget(CustomerState& customer, double seconds,
                                             double added) {
  const double own_rate = added / std::max(seconds, demand_smoothing_seconds(customer));
  const double asked_fraction = (customer.demand.others + own_rate) / customer.quota_rate;
  const double full_fraction =
      std::clamp((1 - asked_fraction) / (1 - kUnknownOthersFraction), 0.0, 1.0);
  customer.budget.tokens = quota_burst(customer) * full_fraction;
  if (full_fraction <= 0) {
    customer.budget.slice_credit =
        customer.unreported.last_request_units * (uniform(random_) + 1 / asked_fraction);
  }
}

}  // namespace quota_gateway::policy
