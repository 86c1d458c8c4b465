#include "fleet_usage.hpp"

#include <functional>

namespace quota_gateway::scale {
namespace {

// Sets each count of `left` to operation(left, right).
template <typename Operation>
void combine(Traffic& left, const Traffic& right, Operation operation) {
  for (const auto member : {&Traffic::sent, &Traffic::received, &Traffic::writes}) {
    left.*member = operation(left.*member, right.*member);
  }
}

template <typename Operation>
void combine(FakeDiscovery::Counts& left, const FakeDiscovery::Counts& right, Operation operation) {
  using Counts = FakeDiscovery::Counts;
  combine(left.traffic, right.traffic, operation);
  for (const auto member : {&Counts::requests, &Counts::full_lists, &Counts::partial_lists,
                            &Counts::updates, &Counts::heartbeats, &Counts::connections,
                            &Counts::rejected, &Counts::slow_watchers_dropped}) {
    left.*member = operation(left.*member, right.*member);
  }
}

template <typename Operation>
void combine(FakeCounter::Counts& left, const FakeCounter::Counts& right, Operation operation) {
  using Counts = FakeCounter::Counts;
  combine(left.traffic, right.traffic, operation);
  for (const auto member : {&Counts::calls, &Counts::rejected, &Counts::malformed, &Counts::pings,
                            &Counts::connections}) {
    left.*member = operation(left.*member, right.*member);
  }
}

}  // namespace

FleetUsage FleetUsage::since(const FleetUsage& before) const {
  FleetUsage difference = *this;
  difference.at -= before.at;
  difference.agents_cpu -= before.agents_cpu;
  difference.counter_cpu -= before.counter_cpu;
  difference.gateways_cpu -= before.gateways_cpu;
  difference.module_cpu -= before.module_cpu;
  combine(difference.discovery, before.discovery, std::minus<>());
  combine(difference.counter, before.counter, std::minus<>());
  return difference;
}

void FleetUsage::add_agent(const FakeDiscovery::Counts& counts, Micros cpu_time) {
  combine(discovery, counts, std::plus<>());
  for (const auto& [second, requests] : counts.requests_by_second) {
    discovery.requests_by_second[second] += requests;
  }
  discovery.watchers += counts.watchers;
  agents_cpu += cpu_time;
}

}  // namespace quota_gateway::scale
