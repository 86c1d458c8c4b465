// Parses the program's command line. Called once, by main.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scenario.hpp"
#include "usage_error.hpp"

namespace quota_gateway::scale {

// The subcommands of the program.
enum class Command { kList, kRun };

// The parsed arguments.
struct CommandLine {
  Command command = Command::kList;
  Options options;                          // used by kRun only
  std::vector<std::string> scenario_names;  // names or prefixes of names; empty: all
  std::optional<std::string> json_path;     // file for the measurements
};

// Parses the arguments. Returns the exit code instead if the help text, the version or an error was
// printed.
std::variant<CommandLine, ExitCode> parse_command_line(int argc, char** argv);

}  // namespace quota_gateway::scale
