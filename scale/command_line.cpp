#include "command_line.hpp"

#include <CLI/CLI.hpp>
#include <cstddef>

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kMaxDigits = 19;  // every number with 19 digits fits in 64 bits

bool is_whole_number(const std::string& text) {
  return !text.empty() && text.size() <= kMaxDigits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// Accepts digits only: CLI11 itself accepts "-1" for an unsigned option and converts it to the
// largest number.
CLI::Validator whole_number() {
  return {[](const std::string& text) {
            return is_whole_number(text) ? std::string() : "'" + text + "' is not a whole number";
          },
          "WHOLE"};
}

void add_run_options(CLI::App& command, CommandLine& arguments, std::string& json_path) {
  Options& options = arguments.options;
  command.add_option("NAME", arguments.scenario_names,
                     "Names of scenarios, or the beginnings of names; default: all");
  command.add_option("--seed", options.seed, "Seed of all random draws")
      ->check(whole_number())
      ->capture_default_str();
  command.add_flag("--small", options.small, "Run at sizes that take seconds");
  command.add_option("--gateways", options.gateways, "Largest number of gateways")
      ->check(whole_number())
      ->check(CLI::PositiveNumber);
  command.add_option("--servers", options.servers, "Largest number of servers")
      ->check(whole_number())
      ->check(CLI::PositiveNumber);
  command.add_option("--seconds", options.seconds, "Time limit of each scenario")
      ->check(CLI::PositiveNumber);
  command.add_option("--gateway", options.gateway_program,
                     "Path of the real gateway; default: the one in the directory of this program");
  command.add_option("--json", json_path, "Write the measurements to this file as JSON lines");
}

}  // namespace

std::variant<CommandLine, ExitCode> parse_command_line(int argc, char** argv) {
  CommandLine arguments;
  std::string json_path;
  CLI::App app("Scale tests of the quota_gateway gateway, on loopback only.",
               "quota_gateway_scale_test");
  app.set_version_flag("--version", QUOTA_GATEWAY_VERSION);
  app.require_subcommand(1);
  app.add_subcommand("list", "List the scenarios");
  CLI::App* run_command = app.add_subcommand(
      "run", "Run scenarios and print a table of the results on standard output");
  add_run_options(*run_command, arguments, json_path);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? ExitCode::kSuccess : ExitCode::kBadInput;
  }
  arguments.command = app.got_subcommand("list") ? Command::kList : Command::kRun;
  if (!json_path.empty()) {
    arguments.json_path = json_path;
  }
  return arguments;
}

}  // namespace quota_gateway::scale
