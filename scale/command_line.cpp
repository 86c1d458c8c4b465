#include "command_line.hpp"

#include <CLI/CLI.hpp>
#include <cstddef>

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kMostDigits = 19;  // of a whole number that fits 64 bits in any case

bool is_whole_number(const std::string& text) {
  return !text.empty() && text.size() <= kMostDigits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// Without this check, the parser takes "-1" for the largest number there is.
CLI::Validator whole_number() {
  return {[](const std::string& text) {
            return is_whole_number(text) ? std::string() : "'" + text + "' is no whole number";
          },
          "WHOLE"};
}

void add_run_options(CLI::App& command, CommandLine& arguments, std::string& json_path) {
  Options& options = arguments.options;
  command.add_option("NAME", arguments.scenario_names,
                     "Scenarios, or what their names begin with; none: all");
  command.add_option("--seed", options.seed, "Draws all that is drawn")
      ->check(whole_number())
      ->capture_default_str();
  command.add_flag("--small", options.small, "Sizes that take seconds");
  command.add_option("--gateways", options.gateways, "The largest number of gateways")
      ->check(whole_number())
      ->check(CLI::PositiveNumber);
  command.add_option("--servers", options.servers, "The largest number of servers")
      ->check(whole_number())
      ->check(CLI::PositiveNumber);
  command.add_option("--seconds", options.seconds, "The most that a scenario may take")
      ->check(CLI::PositiveNumber);
  command.add_option("--gateway", options.gateway_program,
                     "The real gateway; default: the one beside");
  command.add_option("--json", json_path, "A file for the figures as JSON lines");
}

}  // namespace

std::variant<CommandLine, ExitCode> parse_command_line(int argc, char** argv) {
  CommandLine arguments;
  std::string json_path;
  CLI::App app("Scale tests of the quota_gateway gateway, on loopback alone.",
               "quota_gateway_scale_test");
  app.set_version_flag("--version", QUOTA_GATEWAY_VERSION);
  app.require_subcommand(1);
  app.add_subcommand("list", "Tell the scenarios");
  CLI::App* run_command = app.add_subcommand("run", "Run scenarios: a table on standard output");
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
