// What a scenario of the scale tests is, and the sizes that it is run at.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quota_gateway::scale {

class Report;

// The operators' target; a run is a fraction of it. Counts, unless a unit is named.
struct Target {
  std::size_t gateways = 7'400, servers = 170'000, services = 6'100, routes = 270'000,
              tenants = 1'300'000;
  double requests_per_s = 1.9e6;
  std::size_t regions = 3, zones = 7, control_machines = 26;
  double restarts_per_day = 14'000, failures_per_day = 660, config_changes_per_day = 36'000;
  double in_force_s = 7;             // a configuration change, everywhere
  double control_core = 0.016;       // of a core, for control, a gateway
  double control_memory_mb = 256;    // a gateway
  double control_bytes_per_s = 2e3;  // a gateway
  double added_ms = 4.5;             // for 99 in 100 requests
};

struct Options {
  std::uint64_t seed = 1;                 // draws all that is drawn; printed with each result
  bool small = false;                     // CI's size: the same code at sizes that take seconds
  std::size_t gateways = 0, servers = 0;  // 0: the scenario's own sizes
  double seconds = 0;                     // the most that a scenario may take; 0: its own bound
  std::string gateway_program;            // of the real gateway; empty: no processes are started
};

struct Scenario {
  std::string name, what;
  // Bytes that it needs at these options, all processes together; asked before anything starts.
  std::function<std::uint64_t(const Options&)> memory;
  std::function<void(const Options&, Report&)> run;
};

// Scenarios of each part, appended.
void add_module_slopes(std::vector<Scenario>& scenarios);  // the decision module alone
void add_process_slopes(
    std::vector<Scenario>& scenarios);  // real gateway processes against stand-ins
void add_fleet_slopes(std::vector<Scenario>& scenarios);  // hollow gateways against stand-ins
void add_events(std::vector<Scenario>& to);               // what happens to a fleet

}  // namespace quota_gateway::scale
