// Slopes of a fleet of gateways that run the real decision module and the real clients of the
// control tier in this process: what watchers, changes, lists, calls, names and tenants cost on the
// wire, on the machines of the control tier and at a gateway, and how long a change takes to be in
// force.
//
// Each function makes one scenario, for add_fleet_slopes. A scenario's run throws
// std::runtime_error if the fleet does not come to the state that is to be measured; its memory
// estimate throws std::invalid_argument if a process may not have the descriptors.
#pragma once

#include "scenario.hpp"

namespace quota_gateway::scale {

// Heartbeats, a change to each watcher, and how long until it is in force.
Scenario watcher_scenario();
// The operators' day at several paces: bytes, agent and gateway by changes a second.
Scenario change_rate_scenario();
// A complete list to each of a few gateways, by listed servers.
Scenario complete_list_scenario();
// Requests a second at each gateway: calls to the counter, their bytes, counter and gateway.
Scenario counter_call_scenario();
// The counter by the names that it keeps.
Scenario counter_name_scenario();
// Memory and processor time of a gateway by the tenants that it has met.
Scenario tenant_scenario();

}  // namespace quota_gateway::scale
