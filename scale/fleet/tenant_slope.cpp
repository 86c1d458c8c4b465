// The fleet.tenants scenario: the memory and processor time of a gateway by the tenants (customers)
// that have sent it requests.
#include <stdexcept>
#include <string>

#include "fleet/fleet_slopes.hpp"
#include "fleet_options.hpp"
#include "fleet_scenario.hpp"
#include "fleet_state.hpp"
#include "measurement_recorder.hpp"
#include "process_resources.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.tenants";
constexpr double kDefaultSeconds = 120;
constexpr std::size_t kGateways = 4;
// Rate of requests at a gateway until all of its tenants have sent one; higher than the operators'
// target.
constexpr double kWarmupRequestsPerS = 2'000;
// Requests until each tenant has sent one, as a multiple of the number of tenants.
constexpr double kWarmupRequestsPerTenant = 1.1;

std::size_t max_tenants(const Options& options) {
  return options.small ? 800 : 16'000;
}

std::size_t server_count(const Options& options) {
  return ScenarioSizes{options}.servers(200, 50);
}

TestFleet::Options counter_fleet_options(const Options& options, std::size_t tenants) {
  TestFleet::Options fleet_options = test_fleet_options(options, kGateways, server_count(options));
  fleet_options.with_counter = true;
  fleet_options.fleet.tenants_per_gateway = tenants;
  return fleet_options;
}

void warm_up_tenants(TestFleet& test_fleet, std::size_t tenants) {
  test_fleet.fleet().set_request_rate(kWarmupRequestsPerS);
  const auto requests = std::uint64_t(double(tenants * kGateways) * kWarmupRequestsPerTenant);
  const bool all_sent = test_fleet.fleet().wait_until(
      [&](const FleetState& state) { return state.requests >= requests; }, kConvergenceTimeout);
  if (!all_sent) {
    throw std::runtime_error("the simulated gateways received too few requests within the timeout");
  }
}

void measure_tenants(const Options& options, const MeasurementRecorder& recorder,
                     std::size_t tenants) {
  TestFleet test_fleet(counter_fleet_options(options, tenants));
  start_and_converge(test_fleet);
  const std::uint64_t allocated_before = allocated_bytes();
  warm_up_tenants(test_fleet, tenants);
  test_fleet.fleet().set_request_rate(Target{}.requests_per_s / double(Target{}.gateways));
  sleep_for(ScenarioSizes{options}.window(3, 0.3));  // until the effects of the high rate are over
  const auto before = test_fleet.usage();
  sleep_for(ScenarioSizes{options}.window(6, 0.5));
  const auto usage = test_fleet.usage().since(before);
  const auto allocated = double(allocated_bytes() - allocated_before);
  const double gateway_seconds = usage.seconds() * double(kGateways);
  const MeasuredSizes sizes = {{"tenants", double(tenants)}};
  recorder.add("memory", sizes, allocated / double(kGateways) / 1e3, "KB/gateway");
  recorder.add("gateway_cpu", sizes, double(usage.gateways_cpu) / gateway_seconds, "us/s/gateway");
  recorder.add("module_cpu", sizes, double(usage.module_cpu) / gateway_seconds, "us/s/gateway");
  recorder.add("calls", sizes, double(usage.counter.calls) / gateway_seconds, "1/s/gateway");
}

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  for (const std::size_t divisor : {64, 16, 4, 1}) {
    const std::size_t tenants = max_tenants(options) / divisor;
    if (deadline.expired(report, kScenario, std::to_string(tenants) + " tenants")) {
      break;
    }
    measure_tenants(options, recorder, tenants);
  }
  const int spread = FleetOptions{}.gateways_per_tenant;
  const double target_tenants = double(Target{}.tenants) / double(Target{}.gateways) * spread;
  recorder.fit({"memory", "gateway_cpu", "module_cpu", "calls"}, "tenants", target_tenants);
  recorder.note(
      "the target assumes that the requests of each tenant go to " + std::to_string(spread) +
      " gateways; the calls are still affected by the high request rate before the measurement");
}

std::uint64_t memory(const Options& options) {
  return fleet_memory(double(kGateways), double(server_count(options)),
                      double(max_tenants(options)));
}

}  // namespace

Scenario tenant_scenario() {
  return {kScenario,
          "memory and processor time of a simulated gateway by tenants that have sent requests",
          memory, run};
}

}  // namespace quota_gateway::scale
