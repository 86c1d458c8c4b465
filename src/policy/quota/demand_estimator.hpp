// Estimates a customer's demand through this gateway and through the other gateways, and the tokens
// that remain between two totals of the counter. Functions on a CustomerState, called for each
// request, each counter total and in each update period.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Advances the estimates to `now`: own demand decays, and the bucket refills at the rate of the
// quota that others' demand does not use. Does nothing if the estimates are already as of `now`.
void advance_estimates(Micros now, CustomerState& customer);

// Adds the demand of one request, admitted or not. Credits this gateway's slice for the request if
// demand exceeds the quota.
void record_demand(Micros now, CustomerState& customer, double units);

// Sets others' demand as if demand used all of the quota and came evenly through all gateways. This
// is the assumption before the first counter total.
void assume_even_demand(CustomerState& customer);

// Updates the estimates from a total of the quota's shared pool: all gateways requested `total`
// units in the `elapsed` us since the window began.
void record_pool_total(Micros now, CustomerState& customer, double total, double elapsed);

// Returns this gateway's fraction of the quota. If demand is within the quota, the fraction covers
// the gateway's own demand and an even share of the unused rest; otherwise, it is the gateway's
// share of the demand.
double own_fraction(const CustomerState& customer);

// Returns the time constant for others' demand, s: the time in which the quota's rate refills the
// burst, within limits. With a shorter one, the estimate for a small quota would alternate between
// no demand in one second and a full burst in the next.
double demand_smoothing_seconds(const CustomerState& customer);

}  // namespace quota_gateway::policy
