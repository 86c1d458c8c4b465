// Which scenarios there are, which of them a run is asked for, and whether this machine can run
// them. Called by main before anything is started; keeps no state.
#pragma once

#include <string>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// In the order in which they run.
std::vector<Scenario> all_scenarios();

// Those whose name is or begins with one of `names`, in their own order; of no names, all. Throws
// UsageError for a name that fits none.
std::vector<Scenario> select_scenarios(const std::vector<Scenario>& scenarios,
                                       const std::vector<std::string>& names);

// Throws UsageError if a scenario would take more than half of this machine's memory, or more
// descriptors than a process may have.
void check_memory(const std::vector<Scenario>& scenarios, const Options& options);

// The gateway program to start: `given`, or if that is empty the one beside this program; empty if
// there is none. Throws UsageError if `given` is no program.
std::string find_gateway_program(const std::string& given);

}  // namespace quota_gateway::scale
