// The program's arguments. Called once, by main.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scenario.hpp"
#include "usage_error.hpp"

namespace quota_gateway::scale {

enum class Command { kList, kRun };

struct CommandLine {
  Command command = Command::kList;
  Options options;                          // for kRun
  std::vector<std::string> scenario_names;  // each a name or the beginning of one; none: all
  std::optional<std::string> json_path;     // a file for the figures
};

// The arguments, or the code to exit with after the help, the version or an error was printed.
std::variant<CommandLine, ExitCode> parse_command_line(int argc, char** argv);

}  // namespace quota_gateway::scale
