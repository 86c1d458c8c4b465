#include "policy/quota/counter_total_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"
#include "util/random.hpp"

namespace quota_gateway::policy {
namespace {

// Others' assumed demand before the first total, as a fraction of the quota.
constexpr double kUnknownOthersFraction = 0.5;

// While the first totals of keys are below this fraction of the full quotas, the counter is assumed
// to have started recently, with empty counts.
constexpr double kNewCounterFraction = 0.25;
// Factor by which each first total decays the sums behind that assumption.
constexpr double kNewCounterEvidenceKept = 0.95;

// Rounding alone may make an increase smaller than the own additions.
constexpr double kRoundingTolerance = 0.999;

}  // namespace

void CounterTotalEstimator::on_total(Micros now, Micros gateway_started_at, CustomerState& customer,
                                     double total, double added) {
  CounterTotal& counter = customer.counter_total;
  counter.own_additions += added;
  const double increase = total - counter.value;
  const double seconds = observed_seconds(now, gateway_started_at, customer, increase);

  // An increase below this gateway's own additions proves that the counter lost its counts. In that
  // case the estimates stay, and only the base of the next increase changes.
  if (increase >= counter.own_additions * kRoundingTolerance && seconds > 0) {
    apply(now, customer, increase, seconds, added);
  }
  counter.value = total;
  counter.read_at = now;
  counter.own_additions = 0;
  counter.assumed_others = 0;
}

// Returns the seconds in which the total grew by `increase`. If the counter lost all counts
// recently, its totals cover less time than the rotation window. One customer's total cannot show
// such a loss, but the first totals of all customers can: while they are small, no total is assumed
// to cover more time than this gateway has run.
double CounterTotalEstimator::observed_seconds(Micros now, Micros gateway_started_at,
                                               const CustomerState& customer, double increase) {
  const double seconds = double(now - customer.counter_total.read_at) / kMicrosPerSecond;
  if (customer.counter_total.value > 0) {
    return seconds;
  }
  full_quota_units_ = kNewCounterEvidenceKept * full_quota_units_ + customer.quota_rate * seconds;
  first_total_units_ = kNewCounterEvidenceKept * first_total_units_ + increase;
  if (first_total_units_ < kNewCounterFraction * full_quota_units_) {
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

  // The smoothed rate reacts to a spike at other gateways only after they have spent the tokens.
  // The difference between others' assumed and actual demand therefore changes the tokens
  // immediately. It creates debt of at most one second of the quota, since others report late too.
  // Others' demand includes requests that they rejected.
  const double demand_of_others = increase - customer.counter_total.own_additions;
  if (!is_first) {
    const double lower_limit = std::min(budget.tokens, -customer.quota_rate);
    const double corrected =
        budget.tokens + customer.counter_total.assumed_others - demand_of_others;
    budget.tokens = std::min(token_capacity(customer), std::max(lower_limit, corrected));
  }
  demand.others += (1 - std::exp(-seconds / demand_smoothing_seconds(customer))) *
                   (demand_of_others / seconds - demand.others);
  if (is_first) {
    set_first_budget(customer, seconds, added);
  }
  budget.own_allowance = own_fraction(customer) * std::max(0.0, budget.tokens);
  customer.counter_total.trusted_at = now;
}

// Fills the bucket in proportion to the part of the quota that demand does not use. If demand uses
// all of the quota, the bucket stays empty and a random slice credit admits the gateway's first
// request with the probability quota / demand; without the credit, this request would never pass.
void CounterTotalEstimator::set_first_budget(CustomerState& customer, double seconds,
                                             double added) {
  const double own_rate = added / std::max(seconds, demand_smoothing_seconds(customer));
  const double demand_fraction = (customer.demand.others + own_rate) / customer.quota_rate;
  const double full_fraction =
      std::clamp((1 - demand_fraction) / (1 - kUnknownOthersFraction), 0.0, 1.0);
  customer.budget.tokens = quota_burst(customer) * full_fraction;
  if (full_fraction <= 0) {
    customer.budget.slice_credit =
        customer.unreported.last_request_units * (uniform(random_) + 1 / demand_fraction);
  }
}

}  // namespace quota_gateway::policy
