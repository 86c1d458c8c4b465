// What a fleet and its control servers have spent and carried, up to a moment or between two. Plain
// values, filled in by TestFleet.
#pragma once

#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

struct FleetUsage {
  // The moment by steady_now(), or the time between two moments, in microseconds.
  Micros at = 0;
  // Processor time, in microseconds.
  Micros agents_cpu = 0;
  Micros counter_cpu = 0;
  Micros gateways_cpu = 0;
  // Of that, within the decision modules.
  Micros module_cpu = 0;
  // Of all agents.
  FakeDiscovery::Counts discovery;
  FakeCounter::Counts counter;

  // Of a difference: how long it took.
  double seconds() const { return double(at) / 1e6; }
  // The difference. What is counted by second, and what says how many there are now, stays as it is
  // in this one.
  FleetUsage since(const FleetUsage& before) const;
  // Adds what one agent counted.
  void add_agent(const FakeDiscovery::Counts& counts, Micros cpu_time);
};

}  // namespace quota_gateway::scale
