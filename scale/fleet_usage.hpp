// Resource usage and traffic of a fleet and its control servers, up to a moment or between two
// moments. Plain values, filled in by TestFleet.
#pragma once

#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Usage up to a moment, or the difference of two such values.
struct FleetUsage {
  // The time by steady_now() or, in a difference, the time between the two moments, in
  // microseconds.
  Micros at = 0;
  // CPU time, in microseconds.
  Micros agents_cpu = 0;
  Micros counter_cpu = 0;
  Micros gateways_cpu = 0;
  // The part of gateways_cpu that was used in the decision modules.
  Micros module_cpu = 0;
  // Added up over all agents.
  FakeDiscovery::Counts discovery;
  FakeCounter::Counts counter;

  // Returns the duration of a difference.
  double seconds() const { return double(at) / 1e6; }
  // Returns the difference to an earlier usage. Counts by second and current numbers, such as that
  // of the open watches, are not subtracted.
  FleetUsage since(const FleetUsage& before) const;
  // Adds the counts and the CPU time of one agent.
  void add_agent(const FakeDiscovery::Counts& counts, Micros cpu_time);
};

}  // namespace quota_gateway::scale
