// The fleet.calls scenario: calls to the counter and their cost by requests per second.
#include <string>

#include "fleet/fleet_slopes.hpp"
#include "fleet_scenario.hpp"
#include "fleet_state.hpp"
#include "fleet_usage.hpp"
#include "measurement_recorder.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.calls";
constexpr double kDefaultSeconds = 120;
constexpr double kEstimatedTenants = 600;  // approximately, per gateway; for the memory estimate

std::size_t gateway_count(const Options& options) {
  return ScenarioSizes{options}.gateways(100, 10);
}

std::size_t server_count(const Options& options) {
  return ScenarioSizes{options}.servers(200, 50);
}

double target_requests_per_s() {
  return Target{}.requests_per_s / double(Target{}.gateways);
}

TestFleet::Options counter_fleet_options(const Options& options) {
  const Target target;
  TestFleet::Options fleet_options =
      test_fleet_options(options, gateway_count(options), server_count(options));
  fleet_options.with_counter = true;
  const double tenants_per_gateway = double(target.tenants) / double(target.gateways);
  fleet_options.fleet.tenants_per_gateway =
      std::size_t(tenants_per_gateway * fleet_options.fleet.gateways_per_tenant);
  return fleet_options;
}

// Usage and requests of all gateways in a window.
struct CallWindow {
  FleetUsage usage;
  double requests = 0;
  double rejected = 0;
};

CallWindow measure_window(const Options& options, TestFleet& test_fleet) {
  const auto usage_before = test_fleet.usage();
  const FleetState before = test_fleet.fleet().state();
  sleep_for(ScenarioSizes{options}.window(8, 0.5));
  CallWindow window;
  window.usage = test_fleet.usage().since(usage_before);
  const FleetState after = test_fleet.fleet().state();
  window.requests = double(after.requests - before.requests);
  window.rejected = double(after.rejected - before.rejected);
  return window;
}

void record(const MeasurementRecorder& recorder, double requests_per_s, double gateways,
            const CallWindow& window) {
  const MeasuredSizes sizes = {{"requests_per_s", requests_per_s}};
  const double gateway_seconds = window.usage.seconds() * gateways;
  const auto calls = double(window.usage.counter.calls);
  const auto bytes =
      double(window.usage.counter.traffic.sent) + double(window.usage.counter.traffic.received);
  const auto per_call = [calls](double total) { return calls > 0 ? total / calls : 0; };
  recorder.add("requests", sizes, window.requests / gateway_seconds, "1/s/gateway");
  recorder.add("calls", sizes, calls / gateway_seconds, "1/s/gateway");
  recorder.add("call_bytes", sizes, per_call(bytes), "bytes/call");
  recorder.add("bytes", sizes, bytes / gateway_seconds, "bytes/s/gateway");
  recorder.add("counter_cpu", sizes, per_call(double(window.usage.counter_cpu)), "us/call");
  recorder.add("gateway_cpu", sizes, double(window.usage.gateways_cpu) / gateway_seconds,
               "us/s/gateway");
  recorder.add("module_cpu", sizes, double(window.usage.module_cpu) / gateway_seconds,
               "us/s/gateway");
  recorder.add("refused", sizes, window.rejected / gateway_seconds, "1/s/gateway");
}

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  TestFleet test_fleet(counter_fleet_options(options));
  start_and_converge(test_fleet);
  for (const double fraction : {0.125, 0.25, 0.5, 1.0}) {
    const double rate = target_requests_per_s() * fraction;
    if (deadline.expired(report, kScenario, std::to_string(int(rate)) + " requests per second")) {
      break;
    }
    test_fleet.fleet().set_request_rate(rate);
    sleep_for(ScenarioSizes{options}.window(4, 0.2));
    const CallWindow window = measure_window(options, test_fleet);
    record(recorder, rate, double(gateway_count(options)), window);
  }
  recorder.fit({"calls", "bytes", "gateway_cpu", "module_cpu"}, "requests_per_s",
               target_requests_per_s());
}

std::uint64_t memory(const Options& options) {
  const std::size_t gateways = gateway_count(options);
  const auto servers = double(server_count(options));
  return require_descriptors(fleet_memory(double(gateways), servers, kEstimatedTenants), gateways,
                             true);
}

}  // namespace

Scenario counter_call_scenario() {
  return {kScenario,
          "counter calls, their bytes, counter and gateway by requests per second at each gateway",
          memory, run};
}

}  // namespace quota_gateway::scale
