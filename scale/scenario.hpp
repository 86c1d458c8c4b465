// The definition of a scenario of the scale tests, and the sizes at which it runs. The program in
// main.cpp collects the scenarios, determines the memory of each and runs it with a Report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quota_gateway::scale {

class Report;

// The operators' target sizes; a run covers a fraction of them.
struct Target {
  std::size_t gateways = 7'400;
  std::size_t servers = 170'000;
  std::size_t services = 6'100;
  std::size_t routes = 270'000;
  std::size_t tenants = 1'300'000;
  double requests_per_s = 1.9e6;
  std::size_t regions = 3;
  std::size_t zones = 7;
  std::size_t control_machines = 26;
  double restarts_per_day = 14'000;
  double failures_per_day = 660;
  double config_changes_per_day = 36'000;
  // Seconds within which a configuration change must be in effect everywhere.
  double max_propagation_s = 7;
  // What control traffic may use at a gateway: CPU cores, megabytes and bytes per second.
  double control_cpu_cores = 0.016;
  double control_memory_mb = 256;
  double control_bytes_per_s = 2e3;
  // Milliseconds that a gateway may add to 99 of 100 requests.
  double max_added_latency_ms = 4.5;
};

// The options of a run.
struct Options {
  // Seed of all random draws; printed with each result.
  std::uint64_t seed = 1;
  // The CI size: the same code with sizes that take seconds.
  bool small = false;
  // 0: the scenario's own size.
  std::size_t gateways = 0;
  // 0: the scenario's own size.
  std::size_t servers = 0;
  // Time limit of a scenario; 0: the scenario's own limit.
  double seconds = 0;
  // Path of the real gateway; empty: no gateway processes are started.
  std::string gateway_program;
};

// A named measurement that the program can run.
struct Scenario {
  std::string name;
  std::string description;
  // Returns the bytes that the scenario needs with these options, in all processes together. Called
  // before anything starts.
  std::function<std::uint64_t(const Options&)> memory;
  // Adds the scenario's measurements and notes to the report. Throws std::runtime_error if it
  // cannot continue.
  std::function<void(const Options&, Report&)> run;
};

// Each of these functions appends the scenarios of one source file.

// Slopes of the decision module alone.
void add_module_slopes(std::vector<Scenario>& scenarios);
// Slopes of real gateway processes against fakes.
void add_process_slopes(std::vector<Scenario>& scenarios);
// Slopes of simulated gateways against fakes.
void add_fleet_slopes(std::vector<Scenario>& scenarios);
// Events that affect a fleet of simulated gateways.
void add_events(std::vector<Scenario>& scenarios);

}  // namespace quota_gateway::scale
