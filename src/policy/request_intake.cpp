#include "policy/request_intake.hpp"

#include <algorithm>

#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/quota_allocator.hpp"
#include "policy/request_table.hpp"
#include "policy/settings_registry.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

Micros give_up_at(Micros now, Micros deadline, const ClassSettings& settings) {
  if (settings.late_value_fraction > 0) {
    return deadline;
  }
  return std::min(deadline, now + settings.latency_objective);
}

}  // namespace

RequestIntake::RequestIntake(const Settings& settings, SettingsRegistry& registry,
                             QuotaAllocator& quota, RequestTable& requests)
    : settings_(settings), registry_(registry), quota_(quota), requests_(requests) {}

Request& RequestIntake::create(Micros now, const RequestArrived& event) {
  const std::shared_ptr<RequestClass>& request_class = registry_.request_class(event.request_class);
  const ClassSettings& class_settings = request_class->settings;
  const PlanSettings& plan = registry_.plan(event.plan);
  CustomerState& customer = quota_.customer(now, event, plan);
  request_class->latency.on_request(event.units);
  const double expected = request_class->latency.expected(event.units);
  const double quota_units = plan.quota_rate > 0 ? event.units : expected / kMicrosPerSecond;
  record_demand(now, customer, quota_units);

  Request& request = requests_.find_or_create(event.id);
  request.request_class = request_class;
  if (request.customer == nullptr) {
    ++customer.open_requests;
  }
  request.customer = &customer;
  request.max_attempts = settings_.max_attempts;
  request.body_pending = event.body_pending;
  request.units = event.units;
  request.quota_units = quota_units;
  request.expected_response_time = expected;
  request.priority = class_settings.priority_weight * plan.value_factor * event.units / expected;
  request.arrived_at = now;
  request.give_up_at = give_up_at(now, event.deadline, class_settings);
  return request;
}

}  // namespace quota_gateway::policy
