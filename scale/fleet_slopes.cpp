// Adds the scenarios of a fleet's slopes to the program's list.
#include "fleet/fleet_slopes.hpp"

#include "scenario.hpp"

namespace quota_gateway::scale {

void add_fleet_slopes(std::vector<Scenario>& scenarios) {
  scenarios.push_back(watcher_scenario());
  scenarios.push_back(change_rate_scenario());
  scenarios.push_back(complete_list_scenario());
  scenarios.push_back(counter_call_scenario());
  scenarios.push_back(counter_key_scenario());
  scenarios.push_back(tenant_scenario());
}

}  // namespace quota_gateway::scale
