// What a scenario of the scale tests is, and the sizes that it is run at. The program in main.cpp
// collects the scenarios, asks each for its memory and runs it with a Report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quota_gateway::scale {

class Report;

// The operators' target; a run is a fraction of it.
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
  // In which a configuration change is in force everywhere.
  double max_propagation_s = 7;
  // What control may take at a gateway: the part of a core, megabytes and bytes per second.
  double control_cpu_cores = 0.016;
  double control_memory_mb = 256;
  double control_bytes_per_s = 2e3;
  // Milliseconds that a gateway may add, for 99 in 100 requests.
  double max_added_latency_ms = 4.5;
};

struct Options {
  // Of all random draws; printed with each result.
  std::uint64_t seed = 1;
  // The size of CI: the same code at sizes that take seconds.
  bool small = false;
  // 0: the scenario's own size.
  std::size_t gateways = 0;
  // 0: the scenario's own size.
  std::size_t servers = 0;
  // That a scenario may take; 0: its own bound.
  double seconds = 0;
  // The real gateway; empty: no processes are started.
  std::string gateway_program;
};

struct Scenario {
  std::string name;
  std::string description;
  // Bytes that it needs at these options, of all processes together. Asked before anything starts.
  std::function<std::uint64_t(const Options&)> memory;
  // Adds its figures and notes to the report. Throws std::runtime_error if it cannot go on.
  std::function<void(const Options&, Report&)> run;
};

// Each appends the scenarios of one file.

// The decision module alone.
void add_module_slopes(std::vector<Scenario>& scenarios);
// Real gateway processes against fakes.
void add_process_slopes(std::vector<Scenario>& scenarios);
// Simulated gateways against fakes.
void add_fleet_slopes(std::vector<Scenario>& scenarios);
// What happens to a fleet of simulated gateways.
void add_events(std::vector<Scenario>& scenarios);

}  // namespace quota_gateway::scale
