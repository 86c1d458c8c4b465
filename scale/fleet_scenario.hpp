// What the scenarios that run a test fleet share: their sizes, their time, the memory and the
// descriptors that they need, and how they begin. Called from the scenario's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "report.hpp"
#include "scenario.hpp"
#include "test_fleet.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {

// In which a fleet converges, or something is wrong.
constexpr Micros kConvergenceTimeout = 60'000'000;

// The sizes of a scenario: as the options give them, else its own, full or small.
struct ScenarioSizes {
  const Options& options;
  std::size_t gateways(std::size_t full, std::size_t small) const {
    return pick(options.gateways, full, small);
  }
  std::size_t servers(std::size_t full, std::size_t small) const {
    return pick(options.servers, full, small);
  }
  // In microseconds, from seconds.
  Micros window(double full_s, double small_s) const;

 private:
  std::size_t pick(std::size_t given, std::size_t full, std::size_t small) const;
};

// The end of a scenario by the wall clock: what would begin after it is left out and named.
class ScenarioDeadline {
 public:
  // From now; `default_s` unless the options say how many seconds.
  ScenarioDeadline(const Options& options, double default_s);
  // If it has passed, notes in the report what is left out.
  bool expired(Report& report, const std::string& scenario, const std::string& left_out) const;
  // In microseconds; 0 once it has passed.
  Micros remaining() const;

 private:
  const TimeBudget budget_;
};

void sleep_for(Micros time);

// Bytes that a fleet needs, by what was measured, rounded up. `tenants`: at each gateway.
std::uint64_t fleet_memory(double gateways, double servers, double tenants = 0, double agents = 1);
// Returns `memory`. Throws std::invalid_argument if the process may not have the descriptors for
// the fleet, so that bad sizes are named before anything starts.
std::uint64_t require_descriptors(std::uint64_t memory, std::size_t gateways, bool with_counter);

TestFleet::Options test_fleet_options(const Options& options, std::size_t gateways,
                                      std::size_t servers);
// Throws std::runtime_error if it does not converge within kConvergenceTimeout.
void start_and_converge(TestFleet& fleet);

// Of the delays of all gateways, in their unit; 0 of none.
struct Delays {
  double median = 0;
  double max = 0;
};
Delays summarize_delays(std::vector<double> samples);

// Sizes of a slope: what one of 26 control machines has of the largest, then an eighth, a quarter,
// half and all of it.
std::vector<std::size_t> doubling_sizes(std::size_t largest);

}  // namespace quota_gateway::scale
