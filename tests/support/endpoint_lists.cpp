#include "support/endpoint_lists.hpp"

#include <string>
#include <utility>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {

Settings fleet_settings(int gateway_count, int gateway_index) {
  Settings settings;
  settings.classes.push_back(read_class());
  ClassSettings once = read_class();
  once.name = "once";
  once.idempotency = Idempotency::kNonIdempotent;
  once.streamed = true;
  settings.classes.push_back(once);
  PlanSettings plan;
  plan.name = "plan";
  settings.plans.push_back(plan);
  settings.gateway_count = gateway_count;
  settings.gateway_index = gateway_index;
  settings.max_attempts = 3;
  settings.slow_start_min_fraction = 0.2;
  settings.slow_start_duration = 60 * kSecond;
  settings.slow_start_overload_factor = 2;
  settings.slow_start_overload_window = kSecond;
  return settings;
}

EndpointEntry fleet_endpoint(int number, EndpointState state) {
  EndpointEntry entry;
  entry.server = "server-" + std::to_string(number) + ".site:8080";
  entry.zone = "zone-" + std::to_string(number % 7);
  entry.hardware_generation = "standard";
  entry.cell = number % 50;
  entry.state = state;
  return entry;
}

std::vector<EndpointEntry> fleet_endpoints(int first, int last, EndpointState state) {
  std::vector<EndpointEntry> endpoints;
  for (int number = first; number < last; ++number) {
    endpoints.push_back(fleet_endpoint(number, state));
  }
  return endpoints;
}

EndpointListUpdate complete_list(std::vector<EndpointEntry> endpoints) {
  return {EndpointListUpdate::Kind::kComplete, std::move(endpoints)};
}

}  // namespace quota_gateway::testing
