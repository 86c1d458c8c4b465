// How calls to the counter and their cost grow with the requests in a second.
#include <string>

#include "figure_recorder.hpp"
#include "fleet/fleet_slopes.hpp"
#include "hollow.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.calls";
constexpr double kDefaultSeconds = 120;
constexpr double kTenantsOfMemory = 600;  // for the estimate; about those that a gateway meets

std::size_t gateway_count(const Options& options) {
  return Sizes{options}.gateways(100, 10);
}

std::size_t server_count(const Options& options) {
  return Sizes{options}.servers(200, 50);
}

double target_requests_per_s() {
  return Target{}.requests_per_s / double(Target{}.gateways);
}

World::Options world_options(const Options& options) {
  const Target target;
  World::Options world = world_of(options, gateway_count(options), server_count(options));
  world.counter = true;
  const double tenants_per_gateway = double(target.tenants) / double(target.gateways);
  world.fleet.tenants = std::size_t(tenants_per_gateway * world.fleet.spread);
  return world;
}

// What all gateways did and cost in a window.
struct CallWindow {
  World::Spent spent;
  double requests = 0;
  double rejected = 0;
};

CallWindow measure_window(const Options& options, World& world) {
  const auto spent_before = world.spent();
  const FleetState before = world.fleet().state();
  pause(Sizes{options}.window(8, 0.5));
  CallWindow window;
  window.spent = world.spent().since(spent_before);
  const FleetState after = world.fleet().state();
  window.requests = double(after.requests - before.requests);
  window.rejected = double(after.refused - before.refused);
  return window;
}

void record(const FigureRecorder& recorder, double requests_per_s, double gateways,
            const CallWindow& window) {
  const MeasuredSizes sizes = {{"requests_per_s", requests_per_s}};
  const double gateway_seconds = window.spent.seconds() * gateways;
  const auto calls = double(window.spent.counting.calls);
  const auto bytes =
      double(window.spent.counting.traffic.sent) + double(window.spent.counting.traffic.received);
  const auto per_call = [calls](double total) { return calls > 0 ? total / calls : 0; };
  recorder.add("requests", sizes, window.requests / gateway_seconds, "1/s/gateway");
  recorder.add("calls", sizes, calls / gateway_seconds, "1/s/gateway");
  recorder.add("call_bytes", sizes, per_call(bytes), "bytes/call");
  recorder.add("bytes", sizes, bytes / gateway_seconds, "bytes/s/gateway");
  recorder.add("counter_cpu", sizes, per_call(double(window.spent.counter_cpu)), "us/call");
  recorder.add("gateway_cpu", sizes, double(window.spent.gateways_cpu) / gateway_seconds,
               "us/s/gateway");
  recorder.add("module_cpu", sizes, double(window.spent.module_cpu) / gateway_seconds,
               "us/s/gateway");
  recorder.add("refused", sizes, window.rejected / gateway_seconds, "1/s/gateway");
}

void run(const Options& options, Report& report) {
  const FigureRecorder recorder(report, kScenario);
  const Until until(options, kDefaultSeconds);
  World world(world_options(options));
  begin(world);
  for (const double fraction : {0.125, 0.25, 0.5, 1.0}) {
    const double rate = target_requests_per_s() * fraction;
    if (until.over(report, kScenario, std::to_string(int(rate)) + " requests a second")) {
      break;
    }
    world.fleet().load(rate);
    pause(Sizes{options}.window(4, 0.2));
    const CallWindow window = measure_window(options, world);
    record(recorder, rate, double(gateway_count(options)), window);
  }
  recorder.fit({"calls", "bytes", "gateway_cpu", "module_cpu"}, "requests_per_s",
               target_requests_per_s());
}

std::uint64_t memory(const Options& options) {
  const std::size_t gateways = gateway_count(options);
  const auto servers = double(server_count(options));
  return checked(fleet_memory(double(gateways), servers, kTenantsOfMemory), gateways, true);
}

}  // namespace

Scenario counter_call_scenario() {
  return {kScenario, "requests a second at each gateway: calls, their bytes, counter and gateway",
          memory, run};
}

}  // namespace quota_gateway::scale
