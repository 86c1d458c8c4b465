#include "policy/quota/local_budget.hpp"

#include <algorithm>

#include "policy/quota/quota_capacity.hpp"

namespace quota_gateway::policy {
namespace {

constexpr double kRoundingUnits = 1e-9;  // tolerance for rounding in sums of units
constexpr double kMinFillRate = 1e-6;    // units per second; avoids a division by zero
constexpr double kMinDemand = 1e-9;      // units per second; avoids a division by zero

// Returns the tokens that a request may spend now. Between two totals, each gateway spends its own
// allowance only; otherwise each gateway would admit a spike in full. The last request may exceed
// the allowance, since a small allowance is less than one request.
double spendable_tokens(const CustomerState& customer) {
  const LocalBudget& budget = customer.budget;
  return budget.own_allowance > 0 ? budget.tokens : std::min(budget.tokens, 0.0);
}

// Returns the tokens or slice credit that a request of `units` requires.
double required_units(const CustomerState& customer, double units) {
  return std::min(units, token_capacity(customer)) - kRoundingUnits;
}

}  // namespace

bool slice_covers(const CustomerState& customer, double units) {
  const double spendable = std::max(spendable_tokens(customer), customer.budget.slice_credit);
  return customer.quota_rate <= 0 || spendable >= required_units(customer, units);
}

BudgetSource charge_slice(CustomerState& customer, double units) {
  const bool tokens_cover = spendable_tokens(customer) >= required_units(customer, units);
  const BudgetSource source = tokens_cover ? BudgetSource::kTokens : BudgetSource::kSliceCredit;
  charge_to(customer, source, units);
  return source;
}

void charge_to(CustomerState& customer, BudgetSource source, double units) {
  refund(customer, source, -units);
}

void refund(CustomerState& customer, BudgetSource source, double units) {
  if (customer.quota_rate <= 0) {
    return;
  }
  switch (source) {
    case BudgetSource::kTokens:
      customer.budget.tokens += units;
      customer.budget.own_allowance += units;
      break;
    case BudgetSource::kSliceCredit:
      customer.budget.slice_credit += units;
      break;
    case BudgetSource::kPoolReservation:
      customer.quota_reservation.units += units;
      break;
  }
}

double seconds_until_covered(const CustomerState& customer, double units) {
  const Demand& demand = customer.demand;
  const LocalBudget& budget = customer.budget;
  const double quota = customer.quota_rate;
  const double own_slice = quota * demand.own / (demand.own + demand.others + kMinDemand);
  const double fill_rate = std::max({quota - demand.others, own_slice, kMinFillRate});
  const double missing = std::max(0.0, units - std::max(budget.tokens, budget.slice_credit));
  return missing / fill_rate;
}

}  // namespace quota_gateway::policy
