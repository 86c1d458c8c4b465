// The size of a customer's quota: its rate, its burst and the capacity of the gateway's token
// bucket. Pure functions of the plan and the customer's state.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Returns the rate of a plan's quota in units per second. For a plan with a cap on concurrent
// attempts and no rate, returns a rate in attempt-seconds per second that is low enough for random
// variation to exceed the cap only rarely.
double quota_rate(const PlanSettings& plan);

// Returns the maximum burst in units.
double quota_burst(const CustomerState& customer);

// Returns the capacity of the local token bucket. Before the first counter total, it is limited to
// twice an even share of the burst; otherwise each gateway would admit a full burst of a new
// customer.
double token_capacity(const CustomerState& customer);

// Whether a customer is sparse: an even share of its quota is so small relative to a request that a
// slice is meaningless. With hundreds of gateways, each gateway receives a request of such a
// customer every 10 s or less often, and a total of that age does not describe the present demand.
// Sparse customers reserve units from a shared pool, one request at a time.
bool is_sparse(const Settings& settings, const CustomerState& customer);

}  // namespace quota_gateway::policy
