// How large a customer's quota is: rate, burst, and what a gateway's store may hold. Pure functions
// of the plan and the customer's state.
#pragma once

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// The rate of a plan's quota in units a second. A plan with a cap on concurrent attempts in place
// of a rate has one in attempt-seconds a second: low enough that chance seldom passes the cap.
double quota_rate(const PlanSettings& plan);

// Units that the customer may spend at once.
double quota_burst(const CustomerState& customer);

// The most that the local store may hold. Until a first counter total is known it is about an even
// share of the burst; without this, each gateway would admit a whole burst of a new customer.
double token_capacity(const CustomerState& customer);

// Whether an even share of the quota is so small against a request that a slice says nothing:
// through hundreds of gateways, each sees such a customer every 10 s or less often, and a total as
// old as that says nothing of the present. Sparse customers reserve units from a shared pool, one
// request at a time.
bool is_sparse(const Settings& settings, const CustomerState& customer);

}  // namespace quota_gateway::policy
