#include "fleet_scenario.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "process_resources.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Replaces the default of 2 s, so that heartbeats occur in a run of one second.
constexpr Micros kSmallHeartbeatInterval = 200'000;

// The sizes of a gateway and its data are measured, in bytes, and rounded up.
constexpr double kGatewayBytes = 150e3;
// For each listed server at a gateway, with 170,000 servers.
constexpr double kServerBytesPerGateway = 0.55e3;
constexpr double kTenantBytesPerGateway = 1e3;
// For each server in an encoded list.
constexpr double kEncodedServerBytes = 150;
// Estimated number of copies of the list, encoded or not, in an agent.
constexpr double kListsPerAgent = 4;

}  // namespace

Micros ScenarioSizes::window(double full_s, double small_s) const {
  return Micros((options.small ? small_s : full_s) * kMicrosPerSecond);
}

std::size_t ScenarioSizes::pick(std::size_t given, std::size_t full, std::size_t small) const {
  if (given > 0) {
    return given;
  }
  return options.small ? small : full;
}

ScenarioDeadline::ScenarioDeadline(const Options& options, double default_s)
    : budget_(options, default_s) {}

bool ScenarioDeadline::expired(Report& report, const std::string& scenario,
                               const std::string& skipped) const {
  if (!budget_.is_exhausted()) {
    return false;
  }
  report.note(scenario, "the time limit has passed: not run at " + skipped);
  return true;
}

Micros ScenarioDeadline::remaining() const {
  return std::max<Micros>(0, Micros(budget_.seconds_left() * kMicrosPerSecond));
}

void sleep_for(Micros time) {
  std::this_thread::sleep_for(std::chrono::microseconds(time));
}

std::uint64_t fleet_memory(double gateways, double servers, double tenants, double agents) {
  const double gateway_bytes =
      kGatewayBytes + kServerBytesPerGateway * servers + kTenantBytesPerGateway * tenants;
  const double agent_bytes = servers * kListsPerAgent * kEncodedServerBytes;
  return std::uint64_t(gateways * gateway_bytes + agents * agent_bytes);
}

std::uint64_t require_descriptors(std::uint64_t memory, std::size_t gateways, bool with_counter) {
  FleetOptions fleet;
  fleet.gateways = gateways;
  if (with_counter) {
    fleet.counter.emplace();
  }
  const std::size_t needed = descriptors_needed(fleet);
  const std::size_t allowed = raise_descriptor_limit();
  if (needed > allowed) {
    throw std::invalid_argument(std::to_string(gateways) + " gateways need " +
                                std::to_string(needed) + " file descriptors, but only " +
                                std::to_string(allowed) + " are allowed for this process");
  }
  return memory;
}

TestFleet::Options test_fleet_options(const Options& options, std::size_t gateways,
                                      std::size_t servers) {
  TestFleet::Options fleet;
  fleet.layout = Layout::with_zones_of(Target{}, servers, gateways);
  fleet.fleet.seed = options.seed;
  if (options.small) {
    fleet.discovery.heartbeat_interval = kSmallHeartbeatInterval;
  }
  return fleet;
}

void start_and_converge(TestFleet& fleet) {
  fleet.start();
  if (!fleet.wait_until_converged(kConvergenceTimeout)) {
    throw std::runtime_error("the gateways have not converged a minute after their start");
  }
}

Delays summarize_delays(std::vector<double> samples) {
  if (samples.empty()) {
    return {};
  }
  std::sort(samples.begin(), samples.end());
  return {samples[samples.size() / 2], samples.back()};
}

std::vector<std::size_t> doubling_sizes(std::size_t largest) {
  std::vector<std::size_t> sizes;
  for (const std::size_t divisor : {26, 8, 4, 2, 1}) {
    sizes.push_back(std::max<std::size_t>(1, largest / divisor));
  }
  return sizes;
}

}  // namespace quota_gateway::scale
