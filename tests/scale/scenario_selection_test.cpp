// Tests of the selection of scenarios by name and of the check of their memory.
#include "scenario_selection.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "report.hpp"
#include "usage_error.hpp"

namespace quota_gateway::scale {
namespace {

using Names = std::vector<std::string>;

Scenario scenario_named(const std::string& name, std::uint64_t memory = 1) {
  return {name, "", [memory](const Options&) { return memory; }, [](const Options&, Report&) {}};
}

std::vector<Scenario> some_scenarios() {
  return {scenario_named("module.list"), scenario_named("module.burst"),
          scenario_named("fleet.calls")};
}

Names selected_names(const Names& names) {
  Names selected;
  for (const Scenario& scenario : select_scenarios(some_scenarios(), names)) {
    selected.push_back(scenario.name);
  }
  return selected;
}

TEST(ScenarioSelection, NoNamesSelectAll) {
  EXPECT_EQ(selected_names({}), (Names{"module.list", "module.burst", "fleet.calls"}));
}

TEST(ScenarioSelection, ANameOrAPrefixSelectsInTheOrderOfTheScenarios) {
  EXPECT_EQ(selected_names({"fleet.calls", "module.burst"}),
            (Names{"module.burst", "fleet.calls"}));
  EXPECT_EQ(selected_names({"module"}), (Names{"module.list", "module.burst"}));
  EXPECT_EQ(selected_names({"module", "module.list"}), (Names{"module.list", "module.burst"}));
}

TEST(ScenarioSelection, ANameWithoutAMatchIsAUsageError) {
  EXPECT_THROW(selected_names({"list"}), UsageError);
  EXPECT_THROW(selected_names({"module", "nosuch"}), UsageError);
  EXPECT_THROW(selected_names({""}), UsageError);
}

TEST(ScenarioSelection, AScenarioOverHalfOfTheMemoryIsAUsageError) {
  EXPECT_NO_THROW(check_memory({scenario_named("small")}, {}));
  EXPECT_THROW(check_memory({scenario_named("large", std::uint64_t(1e18))}, {}), UsageError);
}

TEST(ScenarioSelection, ScenarioNamesAreUnique) {
  std::set<std::string> names;
  for (const Scenario& scenario : all_scenarios()) {
    EXPECT_TRUE(names.insert(scenario.name).second) << scenario.name;
  }
}

}  // namespace
}  // namespace quota_gateway::scale
