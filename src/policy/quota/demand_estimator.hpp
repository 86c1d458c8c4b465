// Estimates of a customer's demand through this gateway and through the others, and of what they
// leave in the local store, between two totals of the counter. Functions on a CustomerState; called
// by QuotaAllocator, CounterTotalEstimator and, through them, for each request.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Brings the estimates up to `now`: own demand decays, and the store fills by what others leave of
// the quota. Does nothing if they are as of `now` already.
void advance_estimates(Micros now, CustomerState& customer);

// Counts the demand of one request, admitted or not, and credits this gateway's slice for it while
// demand is past the quota.
void record_demand(Micros now, CustomerState& customer, double units);

// Assumes that demand fills the quota and comes evenly through all gateways, as is done until a
// counter total is known.
void assume_even_demand(CustomerState& customer);

// Learns from a total of the quota's shared pool how much all gateways ask: `total` units in
// `elapsed`, us since the window began.
void record_pool_total(Micros now, CustomerState& customer, double total, double elapsed);

// This gateway's fraction of the whole quota: its demand and an even share of what demand leaves
// free; past the quota, its share of the demand.
double own_fraction(const CustomerState& customer);

// Seconds over which others' demand is smoothed. It is the time that the burst lasts at the quota's
// rate; without this, a small quota would see nothing in one second and a whole burst in the next.
double demand_smoothing_seconds(const CustomerState& customer);

}  // namespace quota_gateway::policy
