// How a gateway's memory and cost grow with the tenants that it has met.
#include <stdexcept>
#include <string>

#include "figure_recorder.hpp"
#include "fleet/fleet_slopes.hpp"
#include "hollow.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.tenants";
constexpr double kDefaultSeconds = 120;
constexpr std::size_t kGateways = 4;
// At which a gateway meets its tenants; faster than it would at the operators' target.
constexpr double kMeetingRequestsPerS = 2'000;
// Requests until each tenant has come once, over the number of tenants.
constexpr double kMeetingRequests = 1.1;

std::size_t most_tenants(const Options& options) {
  return options.small ? 800 : 16'000;
}

std::size_t server_count(const Options& options) {
  return Sizes{options}.servers(200, 50);
}

World::Options world_options(const Options& options, std::size_t tenants) {
  World::Options world = world_of(options, kGateways, server_count(options));
  world.counter = true;
  world.fleet.tenants = tenants;
  return world;
}

void meet_tenants(World& world, std::size_t tenants) {
  world.fleet().load(kMeetingRequestsPerS);
  const auto requests = std::uint64_t(double(tenants * kGateways) * kMeetingRequests);
  const bool all_met = world.fleet().wait(
      [&](const FleetState& state) { return state.requests >= requests; }, kSettles);
  if (!all_met) {
    throw std::runtime_error("requests come too slowly");
  }
}

void measure_tenants(const Options& options, const FigureRecorder& recorder, std::size_t tenants) {
  World world(world_options(options, tenants));
  begin(world);
  const std::uint64_t allocated_before = allocated_bytes();
  meet_tenants(world, tenants);
  world.fleet().load(Target{}.requests_per_s / double(Target{}.gateways));
  pause(Sizes{options}.window(3, 0.3));  // until what the fast requests left is over
  const auto before = world.spent();
  pause(Sizes{options}.window(6, 0.5));
  const auto spent = world.spent().since(before);
  const auto allocated = double(allocated_bytes() - allocated_before);
  const double gateway_seconds = spent.seconds() * double(kGateways);
  const MeasuredSizes sizes = {{"tenants", double(tenants)}};
  recorder.add("memory", sizes, allocated / double(kGateways) / 1e3, "KB/gateway");
  recorder.add("gateway_cpu", sizes, double(spent.gateways_cpu) / gateway_seconds, "us/s/gateway");
  recorder.add("module_cpu", sizes, double(spent.module_cpu) / gateway_seconds, "us/s/gateway");
  recorder.add("calls", sizes, double(spent.counting.calls) / gateway_seconds, "1/s/gateway");
}

void run(const Options& options, Report& report) {
  const FigureRecorder recorder(report, kScenario);
  const Until until(options, kDefaultSeconds);
  for (const std::size_t divisor : {64, 16, 4, 1}) {
    const std::size_t tenants = most_tenants(options) / divisor;
    if (until.over(report, kScenario, std::to_string(tenants) + " tenants")) {
      break;
    }
    measure_tenants(options, recorder, tenants);
  }
  const int spread = FleetOptions{}.spread;
  const double tenants_met = double(Target{}.tenants) / double(Target{}.gateways) * spread;
  recorder.fit({"memory", "gateway_cpu", "module_cpu", "calls"}, "tenants", tenants_met);
  recorder.note("the target is a gateway's tenants where each comes through " +
                std::to_string(spread) +
                " gateways: assumed; calls still carry how fast they were met");
}

std::uint64_t memory(const Options& options) {
  return fleet_memory(double(kGateways), double(server_count(options)),
                      double(most_tenants(options)));
}

}  // namespace

Scenario tenant_scenario() {
  return {kScenario, "memory and processor time of a hollow gateway by tenants met", memory, run};
}

}  // namespace quota_gateway::scale
