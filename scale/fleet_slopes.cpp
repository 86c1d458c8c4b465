// The scenarios of a fleet's slopes, as the program lists them.
#include "fleet/fleet_slopes.hpp"

#include "scenario.hpp"

namespace quota_gateway::scale {

void add_fleet_slopes(std::vector<Scenario>& to) {
  to.push_back(watcher_scenario());
  to.push_back(change_rate_scenario());
  to.push_back(complete_list_scenario());
  to.push_back(counter_call_scenario());
  to.push_back(counter_name_scenario());
  to.push_back(tenant_scenario());
}

}  // namespace quota_gateway::scale
