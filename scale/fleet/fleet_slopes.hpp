// Scenarios that measure a fleet of simulated gateways at several sizes. The gateways run the real
// decision module and the real clients of the control tier in this process. The scenarios measure
// what watchers, changes, lists, counter calls, counter keys and tenants cost in traffic and in the
// resources of the control tier and of a gateway, and how long a change takes to be in force.
//
// Each function returns one scenario for add_fleet_slopes(). The run of a scenario throws
// std::runtime_error if the fleet does not reach the state that is to be measured; its memory
// estimate throws std::invalid_argument if a process cannot have enough descriptors.
#pragma once

#include "scenario.hpp"

namespace quota_gateway::scale {

// Heartbeats, a change to each watcher, and how long until it is in force.
Scenario watcher_scenario();
// Bytes and processor time of the agents and of a gateway by changes per second: a day at the
// operators' rates, replayed at several speeds.
Scenario change_rate_scenario();
// A complete list to each of a few gateways, by listed servers.
Scenario complete_list_scenario();
// Calls to the counter, their bytes, and processor time of the counter and of a gateway by requests
// per second at each gateway.
Scenario counter_call_scenario();
// Memory and processor time of the counter by its live keys.
Scenario counter_key_scenario();
// Memory and processor time of a gateway by the tenants that have sent it requests.
Scenario tenant_scenario();

}  // namespace quota_gateway::scale
