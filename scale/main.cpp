// The scale tests' program: which scenarios, at what sizes, and where the figures go.
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "report.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {
namespace {

constexpr int kBadInput = 2;
constexpr double kMostSeconds = 3'600;  // that a scenario may ask for
constexpr double kMemoryShare = 0.5;    // of the machine's, that a scenario may take
// Scenarios stop by themselves within their bound; one that doesn't is ended, with its children.
constexpr unsigned kOverdue = 3 * unsigned(kMostSeconds);

// Input that nothing should be started for.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Arguments {
  Options options;
  std::vector<std::string> names;
  std::string json;
};

std::vector<Scenario> all_scenarios() {
  std::vector<Scenario> all;
  add_module_slopes(all);
  add_process_slopes(all);
#ifdef QUOTA_GATEWAY_SCALE_FLEET
  add_fleet_slopes(all);
#endif
#ifdef QUOTA_GATEWAY_SCALE_EVENTS
  add_events(all);
#endif
  return all;
}

// Those of the names, or whose name begins with one, in their own order.
std::vector<Scenario> chosen(const std::vector<Scenario>& all,
                             const std::vector<std::string>& names) {
  if (names.empty()) {
    return all;
  }
  const auto asked = [](const Scenario& s, const std::string& name) {
    return !name.empty() && s.name.compare(0, name.size(), name) == 0;
  };
  for (const std::string& name : names) {
    if (std::none_of(all.begin(), all.end(), [&](const Scenario& s) { return asked(s, name); })) {
      throw BadInput("unknown scenario '" + name + "'; 'list' tells those there are");
    }
  }
  std::vector<Scenario> out;
  for (const Scenario& s : all) {
    if (std::any_of(names.begin(), names.end(),
                    [&](const std::string& name) { return asked(s, name); })) {
      out.push_back(s);
    }
  }
  return out;
}

std::uint64_t machine_memory() {
  struct sysinfo info {};
  if (::sysinfo(&info) != 0) {
    throw std::runtime_error("the machine's memory is not known");
  }
  return std::uint64_t(info.totalram) * info.mem_unit;
}

double megabytes(std::uint64_t bytes) {
  return std::round(double(bytes) / 1e6);
}

// A size that can't be had at all, such as one past the descriptors, is bad input as well.
std::uint64_t memory_of(const Scenario& s, const Options& options) {
  try {
    return s.memory(options);
  } catch (const std::invalid_argument& e) {
    throw BadInput("scenario '" + s.name + "': " + e.what());
  }
}

void check_memory(const std::vector<Scenario>& scenarios, const Options& options) {
  const double most = kMemoryShare * double(machine_memory());
  for (const Scenario& s : scenarios) {
    if (const std::uint64_t needs = memory_of(s, options); double(needs) > most) {
      throw BadInput("scenario '" + s.name + "' would take about " +
                     std::to_string(needs / 1'000'000) +
                     " MB at this size; half of this machine's memory is " +
                     std::to_string(std::uint64_t(most) / 1'000'000) + " MB");
    }
  }
}

std::string gateway_beside() {
  std::error_code unknown;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", unknown);
  const auto beside = self.parent_path() / "quota_gateway";
  return !unknown && ::access(beside.c_str(), X_OK) == 0 ? beside.string() : "";
}

void check_gateway(std::string& program) {
  if (program.empty()) {
    program = gateway_beside();
  } else if (!std::filesystem::is_regular_file(program) || ::access(program.c_str(), X_OK) != 0) {
    throw BadInput("--gateway: '" + program + "' is no program");
  }
  if (program.empty()) {
    std::cerr << "no gateway beside this program: none is started\n";
  }
}

// As many descriptors as the system lets a process have; a fleet on one machine needs them.
void raise_descriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return;
  }
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

int list() {
  const Options whole;
  Options small;
  small.small = true;
  for (const Scenario& s : all_scenarios()) {
    std::cout << s.name << ": " << s.what << " (" << megabytes(s.memory(whole)) << " MB; small "
              << megabytes(s.memory(small)) << " MB)\n";
  }
  return 0;
}

int run(Arguments arguments) {
  Options& options = arguments.options;
  if (!std::isfinite(options.seconds) || options.seconds > kMostSeconds) {
    throw BadInput("--seconds: at most " + std::to_string(int(kMostSeconds)));
  }
  const auto scenarios = chosen(all_scenarios(), arguments.names);
  check_gateway(options.gateway_program);
  check_memory(scenarios, options);
  std::ofstream lines;
  if (!arguments.json.empty()) {
    lines.open(arguments.json, std::ios::trunc);
    if (!lines) {
      throw BadInput("--json: cannot write '" + arguments.json + "'");
    }
  }
  raise_descriptors();
  ::alarm(kOverdue);
  Report report(arguments.json.empty() ? nullptr : &lines, options.seed);
  int failed = 0;
  for (const Scenario& s : scenarios) {
    const std::time_t begun = std::time(nullptr);
    std::cerr << s.name << ": " << s.what << '\n';
    try {
      s.run(options, report);
    } catch (const std::exception& e) {
      ++failed;
      report.note(s.name, std::string("FAILED: ") + e.what());
      std::cerr << s.name << ": FAILED: " << e.what() << '\n';
    }
    std::cerr << s.name << ": " << std::time(nullptr) - begun << " s\n";
  }
  report.table(std::cout);
  std::cout << "seed " << options.seed << (options.small ? ", small" : "") << "; "
            << scenarios.size() << " scenarios, " << failed << " failed\n";
  if (!lines.good() && !arguments.json.empty()) {
    throw std::runtime_error("--json: writing failed");
  }
  return failed > 0 ? 1 : 0;
}

int main_of(int argc, char** argv) {
  Arguments arguments;
  Options& options = arguments.options;
  CLI::App app("Scale tests of the quota_gateway gateway, on loopback alone.",
               "quota_gateway_scale_test");
  app.set_version_flag("--version", QUOTA_GATEWAY_VERSION);
  app.require_subcommand(1);
  app.add_subcommand("list", "Tell the scenarios");
  CLI::App* run_command = app.add_subcommand("run", "Run scenarios: a table on standard output");
  run_command->add_option("NAME", arguments.names,
                          "Scenarios, or what their names begin with; none: all");
  // Danger: the parser takes "-1" for the largest number there is.
  const CLI::Validator whole(
      [](std::string& text) {
        const bool digits = !text.empty() && text.size() < 20 &&
                            text.find_first_not_of("0123456789") == std::string::npos;
        return digits ? std::string() : "'" + text + "' is no whole number";
      },
      "WHOLE");
  run_command->add_option("--seed", options.seed, "Draws all that is drawn")
      ->check(whole)
      ->capture_default_str();
  run_command->add_flag("--small", options.small, "Sizes that take seconds");
  run_command->add_option("--gateways", options.gateways, "The largest number of gateways")
      ->check(whole)
      ->check(CLI::PositiveNumber);
  run_command->add_option("--servers", options.servers, "The largest number of servers")
      ->check(whole)
      ->check(CLI::PositiveNumber);
  run_command->add_option("--seconds", options.seconds, "The most that a scenario may take")
      ->check(CLI::PositiveNumber);
  run_command->add_option("--gateway", options.gateway_program,
                          "The real gateway; default: the one beside");
  run_command->add_option("--json", arguments.json, "A file for the figures as JSON lines");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  }
  try {
    return app.got_subcommand("list") ? list() : run(std::move(arguments));
  } catch (const BadInput& e) {
    std::cerr << "quota_gateway_scale_test: " << e.what() << '\n';
    return kBadInput;
  }
}

}  // namespace
}  // namespace quota_gateway::scale

int main(int argc, char** argv) {
  try {
    return quota_gateway::scale::main_of(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "quota_gateway_scale_test: " << e.what() << '\n';
    return 1;
  }
}
