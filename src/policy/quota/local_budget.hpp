// What this gateway may let through of a customer's quota, and the charges for it: spends the
// LocalBudget that the estimators fill. Functions on a CustomerState whose estimates are as of now;
// the gateway calls them for each request.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Whether this gateway's slice covers a request of `units`. One that is larger than the whole store
// is covered when that is full. A customer without a quota is always covered.
bool slice_covers(const CustomerState& customer, double units);

// Charges a request that the slice covers, and returns what it was charged to. Negative units
// correct an earlier charge.
BudgetSource charge_slice(CustomerState& customer, double units);

// Charges to a given source.
void charge_to(CustomerState& customer, BudgetSource source, double units);

// Gives back what was charged to `source`.
void refund(CustomerState& customer, BudgetSource source, double units);

// Seconds until the slice will cover `units`, as demand is now; 0 if it does.
double seconds_until_covered(const CustomerState& customer, double units);

}  // namespace quota_gateway::policy
