// Lists all scenarios, selects those that a run requests, and checks whether this machine can run
// them. Called by main before anything is started; keeps no state.
#pragma once

#include <string>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// Returns all scenarios in the order in which they run.
std::vector<Scenario> all_scenarios();

// Returns the scenarios that match one of `names`, each the full name or the beginning of one, in
// the order of `scenarios`; all of them if `names` is empty. Throws UsageError for a name that
// matches none.
std::vector<Scenario> select_scenarios(const std::vector<Scenario>& scenarios,
                                       const std::vector<std::string>& names);

// Throws UsageError if a scenario would need more than half of this machine's memory, or more
// descriptors than the process may have.
void check_memory(const std::vector<Scenario>& scenarios, const Options& options);

// Returns the path of the gateway program: `given`, or if that is empty the one in this program's
// directory; empty if there is none. Throws UsageError if `given` is not an executable file.
std::string find_gateway_program(const std::string& given);

}  // namespace quota_gateway::scale
