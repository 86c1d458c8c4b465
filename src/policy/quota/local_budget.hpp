// Checks and charges requests against the part of a customer's quota that this gateway may spend,
// the LocalBudget. Functions on a CustomerState; its estimates must be up to date. The gateway
// calls them for each request.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Whether this gateway's slice covers a request of `units`. A request larger than the bucket is
// covered when the bucket is full. A customer without a quota is always covered.
bool slice_covers(const CustomerState& customer, double units);

// Charges a request to the tokens if they cover it, otherwise to the slice credit, and returns the
// charged source. Negative units correct an earlier charge.
BudgetSource charge_slice(CustomerState& customer, double units);

// Charges `units` to `source`.
void charge_to(CustomerState& customer, BudgetSource source, double units);

// Returns `units` that were charged to `source`.
void refund(CustomerState& customer, BudgetSource source, double units);

// Returns the seconds until the slice will cover `units` at the present demand; 0 if the tokens or
// the slice credit hold them already.
double seconds_until_covered(const CustomerState& customer, double units);

}  // namespace quota_gateway::policy
