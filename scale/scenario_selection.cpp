#include "scenario_selection.hpp"

#include <sys/sysinfo.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <system_error>

#include "usage_error.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kMemoryFraction = 0.5;  // of the machine's memory that a scenario may take
constexpr std::uint64_t kMegabyte = 1'000'000;

bool matches(const Scenario& scenario, const std::string& name) {
  return !name.empty() && scenario.name.starts_with(name);
}

bool matches_any(const Scenario& scenario, const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(),
                     [&](const std::string& name) { return matches(scenario, name); });
}

void check_name(const std::vector<Scenario>& scenarios, const std::string& name) {
  const bool known = std::any_of(scenarios.begin(), scenarios.end(),
                                 [&](const Scenario& scenario) { return matches(scenario, name); });
  if (!known) {
    throw UsageError("unknown scenario '" + name + "'; 'list' prints the names of all scenarios");
  }
}

// Returns the machine's memory in bytes.
std::uint64_t machine_memory() {
  struct sysinfo info {};
  if (::sysinfo(&info) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot determine the memory of this machine");
  }
  return std::uint64_t(info.totalram) * info.mem_unit;
}

// Returns the scenario's memory in bytes. A size that this machine cannot provide at all, such as
// one that needs too many descriptors, is reported as a usage error.
std::uint64_t memory_of(const Scenario& scenario, const Options& options) {
  try {
    return scenario.memory(options);
  } catch (const std::invalid_argument& e) {
    throw UsageError("scenario '" + scenario.name + "': " + e.what());
  }
}

bool is_executable(const std::filesystem::path& path) {
  return ::access(path.c_str(), X_OK) == 0;
}

std::string gateway_program_beside() {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  if (error) {
    return "";
  }
  const auto beside = self.parent_path() / "quota_gateway";
  return is_executable(beside) ? beside.string() : "";
}

}  // namespace

std::vector<Scenario> all_scenarios() {
  std::vector<Scenario> scenarios;
  add_module_slopes(scenarios);
  add_process_slopes(scenarios);
  add_fleet_slopes(scenarios);
  add_events(scenarios);
  return scenarios;
}

std::vector<Scenario> select_scenarios(const std::vector<Scenario>& scenarios,
                                       const std::vector<std::string>& names) {
  if (names.empty()) {
    return scenarios;
  }
  for (const std::string& name : names) {
    check_name(scenarios, name);
  }
  std::vector<Scenario> selected;
  for (const Scenario& scenario : scenarios) {
    if (matches_any(scenario, names)) {
      selected.push_back(scenario);
    }
  }
  return selected;
}

void check_memory(const std::vector<Scenario>& scenarios, const Options& options) {
  const double max_bytes = kMemoryFraction * double(machine_memory());
  for (const Scenario& scenario : scenarios) {
    const std::uint64_t needed = memory_of(scenario, options);
    if (double(needed) > max_bytes) {
      throw UsageError("scenario '" + scenario.name + "' would take about " +
                       std::to_string(needed / kMegabyte) +
                       " MB at this size; half of this machine's memory is " +
                       std::to_string(std::uint64_t(max_bytes) / kMegabyte) + " MB");
    }
  }
}

std::string find_gateway_program(const std::string& given) {
  if (given.empty()) {
    return gateway_program_beside();
  }
  if (!std::filesystem::is_regular_file(given) || !is_executable(given)) {
    throw UsageError("--gateway: '" + given + "' is not an executable file");
  }
  return given;
}

}  // namespace quota_gateway::scale
