// Functions shared by the scenarios that run a test fleet: sizes, deadlines, estimates of memory
// and descriptors, and the start of the fleet. Called from the scenario's thread.
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

// A fleet that does not converge within this time is faulty.
constexpr Micros kConvergenceTimeout = 60'000'000;

// The sizes of a scenario: those given in the options, or else its own full or small sizes.
struct ScenarioSizes {
  const Options& options;
  std::size_t gateways(std::size_t full, std::size_t small) const {
    return pick(options.gateways, full, small);
  }
  std::size_t servers(std::size_t full, std::size_t small) const {
    return pick(options.servers, full, small);
  }
  // Returns microseconds from the given seconds, for the full or the small run.
  Micros window(double full_s, double small_s) const;

 private:
  std::size_t pick(std::size_t given, std::size_t full, std::size_t small) const;
};

// The wall-clock deadline of a scenario. Measurement points that would begin after it are skipped,
// and the report names them.
class ScenarioDeadline {
 public:
  // Starts now and lasts for the seconds given in the options, or else for `default_s`.
  ScenarioDeadline(const Options& options, double default_s);
  // Returns whether the deadline has passed. If so, notes in the report what is skipped.
  bool expired(Report& report, const std::string& scenario, const std::string& skipped) const;
  // Returns the remaining microseconds; 0 after the deadline.
  Micros remaining() const;

 private:
  const TimeBudget budget_;
};

void sleep_for(Micros time);

// Estimates the bytes that a fleet needs, from rounded-up measurements. `tenants` is the number of
// tenants at each gateway.
std::uint64_t fleet_memory(double gateways, double servers, double tenants = 0, double agents = 1);
// Returns `memory`. Throws std::invalid_argument if the process cannot get the descriptors for the
// fleet, so that sizes that are too large are reported before anything starts.
std::uint64_t require_descriptors(std::uint64_t memory, std::size_t gateways, bool with_counter);

TestFleet::Options test_fleet_options(const Options& options, std::size_t gateways,
                                      std::size_t servers);
// Starts the fleet and waits until it has converged. Throws std::runtime_error if that takes longer
// than kConvergenceTimeout.
void start_and_converge(TestFleet& fleet);

// Statistics of the delays of all gateways, in the unit of the delays; 0 if there are none.
struct Delays {
  double median = 0;
  double max = 0;
};
Delays summarize_delays(std::vector<double> samples);

// Returns the sizes of a slope: a 26th of `largest`, which is the share of one of 26 control
// machines, then an eighth, a quarter, a half and all of it.
std::vector<std::size_t> doubling_sizes(std::size_t largest);

}  // namespace quota_gateway::scale
