// The scale test program: lists scenarios, or runs them and prints their results.
#include <unistd.h>

#include <cmath>
#include <cstdint>
#include <ctime>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "command_line.hpp"
#include "process_resources.hpp"
#include "report.hpp"
#include "scenario.hpp"
#include "scenario_selection.hpp"
#include "usage_error.hpp"

namespace quota_gateway::scale {
namespace {

constexpr int kMaxSeconds = 3'600;  // largest time limit of a scenario, given by --seconds
// Scenarios end by themselves within their time limit. A run that does not end is terminated, with
// its child processes.
constexpr unsigned kRunTimeoutS = 3 * kMaxSeconds;

void check_seconds(double seconds) {
  if (!std::isfinite(seconds) || seconds > kMaxSeconds) {
    throw UsageError("--seconds: the value must be at most " + std::to_string(kMaxSeconds));
  }
}

double rounded_megabytes(std::uint64_t bytes) {
  return std::round(double(bytes) / 1e6);
}

void list_scenarios() {
  const Options target_size;
  Options small_size;
  small_size.small = true;
  for (const Scenario& scenario : all_scenarios()) {
    std::cout << scenario.name << ": " << scenario.description << " ("
              << rounded_megabytes(scenario.memory(target_size)) << " MB; small "
              << rounded_megabytes(scenario.memory(small_size)) << " MB)\n";
  }
}

std::ofstream open_json_file(const std::string& path) {
  std::ofstream file(path, std::ios::trunc);
  if (!file) {
    throw UsageError("--json: cannot write '" + path + "'");
  }
  return file;
}

// Returns whether the scenario succeeded. The report notes a failure.
bool run_scenario(const Scenario& scenario, const Options& options, Report& report) {
  const std::time_t started_at = std::time(nullptr);
  bool succeeded = true;
  std::cerr << scenario.name << ": " << scenario.description << '\n';
  try {
    scenario.run(options, report);
  } catch (const std::exception& e) {
    succeeded = false;
    report.note(scenario.name, std::string("FAILED: ") + e.what());
    std::cerr << scenario.name << ": FAILED: " << e.what() << '\n';
  }
  std::cerr << scenario.name << ": " << std::time(nullptr) - started_at << " s\n";
  return succeeded;
}

// Returns the number of failed scenarios.
std::size_t run_scenarios(const std::vector<Scenario>& scenarios, const Options& options,
                          std::ostream* json_lines) {
  Report report(json_lines, options.seed);
  std::size_t failed = 0;
  for (const Scenario& scenario : scenarios) {
    if (!run_scenario(scenario, options, report)) {
      ++failed;
    }
  }
  report.table(std::cout);
  std::cout << "seed " << options.seed << (options.small ? ", small" : "") << "; "
            << scenarios.size() << " scenarios, " << failed << " failed\n";
  return failed;
}

ExitCode run(const CommandLine& arguments) {
  Options options = arguments.options;
  check_seconds(options.seconds);
  const auto scenarios = select_scenarios(all_scenarios(), arguments.scenario_names);
  options.gateway_program = find_gateway_program(options.gateway_program);
  if (options.gateway_program.empty()) {
    std::cerr << "no gateway program in the directory of this program: no gateway is started\n";
  }
  check_memory(scenarios, options);
  std::optional<std::ofstream> json_file;
  if (arguments.json_path) {
    json_file = open_json_file(*arguments.json_path);
  }
  // A fleet on one machine may need as many descriptors as the system allows for a process.
  raise_descriptor_limit();
  ::alarm(kRunTimeoutS);
  const std::size_t failed = run_scenarios(scenarios, options, json_file ? &*json_file : nullptr);
  if (json_file && !json_file->good()) {
    throw std::runtime_error("--json: writing the file failed");
  }
  return failed > 0 ? ExitCode::kFailed : ExitCode::kSuccess;
}

ExitCode execute(const CommandLine& arguments) {
  switch (arguments.command) {
    case Command::kList:
      list_scenarios();
      return ExitCode::kSuccess;
    case Command::kRun:
      return run(arguments);
  }
  return ExitCode::kFailed;
}

ExitCode run_program(int argc, char** argv) {
  const auto parsed = parse_command_line(argc, argv);
  if (const auto* exit_code = std::get_if<ExitCode>(&parsed)) {
    return *exit_code;
  }
  return execute(std::get<CommandLine>(parsed));
}

ExitCode fail(const std::exception& error, ExitCode code) {
  std::cerr << "quota_gateway_scale_test: " << error.what() << '\n';
  return code;
}

ExitCode run_reporting_errors(int argc, char** argv) {
  try {
    return run_program(argc, argv);
  } catch (const UsageError& e) {
    return fail(e, ExitCode::kBadInput);
  } catch (const std::exception& e) {
    return fail(e, ExitCode::kFailed);
  }
}

}  // namespace
}  // namespace quota_gateway::scale

int main(int argc, char** argv) {
  return int(quota_gateway::scale::run_reporting_errors(argc, argv));
}
