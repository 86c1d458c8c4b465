#include "module/module_inputs.hpp"

#include <utility>

#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kFirstServerNumber = 100'000'000;
constexpr std::size_t kHardwareGenerations = 3;
constexpr std::size_t kCells = 64;
constexpr std::size_t kServices = 6'100;  // that classes are spread over; the operators' target

// Rate and burst of the plan's quota. Higher than any scenario needs, because the scenarios measure
// the cost of dispatching requests, not of rejecting them.
constexpr double kPlanQuota = 1e6;

std::string zone_of(std::size_t server) {
  const auto letter = char('a' + server % kZones);
  return {letter};
}

ClassSettings class_settings(std::string name) {
  ClassSettings settings;
  settings.name = std::move(name);
  settings.latency_objective = 3 * kSecond;
  settings.deadline = 4 * kSecond;
  settings.late_value_fraction = 0.5;
  settings.idempotency = Idempotency::kIdempotent;
  return settings;
}

std::string route_name(std::size_t index) {
  return numbered_name("service-", index % kServices) + numbered_name("/route-", index);
}

}  // namespace

std::string numbered_name(const std::string& prefix, std::size_t number) {
  return prefix + std::to_string(number);
}

EndpointEntry listed_endpoint(std::size_t index) {
  EndpointEntry entry;
  entry.server = numbered_name("s-", kFirstServerNumber + index);
  entry.zone = zone_of(index);
  entry.hardware_generation = numbered_name("m", index % kHardwareGenerations);
  entry.cell = std::int64_t(index % kCells);
  return entry;
}

EndpointListUpdate complete_list(std::size_t servers) {
  EndpointListUpdate list;
  for (std::size_t i = 0; i < servers; ++i) {
    list.entries.push_back(listed_endpoint(i));
  }
  return list;
}

EndpointListUpdate single_change(EndpointEntry entry) {
  return {EndpointListUpdate::Kind::kPartial, {std::move(entry)}};
}

Settings module_settings(std::size_t gateways, std::size_t classes) {
  Settings settings;
  settings.zone = zone_of(0);
  for (std::size_t i = 0; i < classes; ++i) {
    settings.classes.push_back(class_settings(classes == 1 ? kClassName : route_name(i)));
  }
  PlanSettings plan;
  plan.name = kPlanName;
  plan.quota_rate = kPlanQuota;
  plan.quota_burst = kPlanQuota;
  settings.plans.push_back(plan);
  settings.gateway_count = int(gateways);
  settings.gateway_index = int(gateways / 3);
  settings.has_counter = true;
  settings.max_attempts = 3;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_retry_after = kSecond;
  settings.slow_start_min_fraction = 0.3;
  settings.slow_start_duration = 10 * kSecond;
  settings.slow_start_overload_factor = 1.5;
  settings.slow_start_overload_window = kSecond;
  return settings;
}

}  // namespace quota_gateway::scale
