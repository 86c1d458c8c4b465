#include "policy/quota/local_budget.hpp"

#include <algorithm>

#include "policy/quota/quota_capacity.hpp"

namespace quota_gateway::policy {
namespace {

constexpr double kRoundingUnits = 1e-9;  // sums of units may fall short by so much
constexpr double kLeastFillRate = 1e-6;  // units a second; keeps divisions defined
constexpr double kLeastDemand = 1e-9;    // units a second; keeps divisions defined

// Units of the store that a request may spend now. Between two totals each gateway spends its own
// allowance alone, or a spike would be admitted as often as there are gateways. But the last
// request may go past it, since a small allowance holds none.
double spendable_store(const CustomerState& customer) {
  const LocalBudget& budget = customer.budget;
  return budget.own_allowance > 0 ? budget.tokens : std::min(budget.tokens, 0.0);
}

// Units that must be there for a request of `units`.
double needed_units(const CustomerState& customer, double units) {
  return std::min(units, token_capacity(customer)) - kRoundingUnits;
}

}  // namespace

bool slice_covers(const CustomerState& customer, double units) {
  const double spendable = std::max(spendable_store(customer), customer.budget.slice_credit);
  return customer.quota_rate <= 0 || spendable >= needed_units(customer, units);
}

BudgetSource charge_slice(CustomerState& customer, double units) {
  const bool is_in_store = spendable_store(customer) >= needed_units(customer, units);
  const BudgetSource source = is_in_store ? BudgetSource::kTokens : BudgetSource::kSliceCredit;
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
  const double own_slice = quota * demand.own / (demand.own + demand.others + kLeastDemand);
  const double fill_rate = std::max({quota - demand.others, own_slice, kLeastFillRate});
  const double missing = std::max(0.0, units - std::max(budget.tokens, budget.slice_credit));
  return missing / fill_rate;
}

}  // namespace quota_gateway::policy
