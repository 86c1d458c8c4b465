#include "settings/settings_parser.hpp"

#include <string>

#include "settings/json_fields.hpp"

namespace quota_gateway {
namespace {

using Json = nlohmann::json;

ClassSettings parse_class(const Json& json) {
  ClassSettings settings;
  settings.name = field_or<std::string>(json, "Name", "");
  settings.latency_objective = field_or(json, "ObjectiveUs", settings.latency_objective);
  settings.deadline = field_or(json, "GiveUpUs", settings.deadline);
  settings.priority_weight = field_or(json, "Importance", settings.priority_weight);
  settings.late_value_fraction = field_or(json, "LateValue", settings.late_value_fraction);
  settings.idempotency = enum_from_string<Idempotency>(
      field_or<std::string>(json, "Repeat", ""),
      {{"safe", Idempotency::kIdempotent}, {"keyed", Idempotency::kIdempotencyKey}},
      Idempotency::kNonIdempotent);
  settings.dedup_scope = enum_from_string<DedupScope>(
      field_or<std::string>(json, "DedupScope", ""),
      {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}}, DedupScope::kCell);
  settings.dedup_window = field_or<Micros>(json, "WindowUs", 0);
  settings.streamed = field_or(json, "Stream", false);
  return settings;
}

PlanSettings parse_plan(const Json& json) {
  PlanSettings settings;
  settings.name = field_or<std::string>(json, "Name", "");
  settings.quota_rate = field_or(json, "QuotaRate", 0.0);
  settings.quota_burst = field_or(json, "Depth", 0.0);
  settings.max_concurrent_attempts = field_or(json, "MaxOut", 0);
  settings.ceiling_rate = field_or(json, "NeverOverRate", 0.0);
  settings.ceiling_burst = field_or(json, "HardBurst", 0.0);
  settings.ceiling_slack = field_or(json, "CapSlack", 0.0);
  settings.value_factor = field_or(json, "ValueFactor", 1.0);
  settings.over_quota_value = field_or(json, "ExcessWorth", 0.0);
  settings.over_quota_cost = field_or(json, "OverrunCost", 0.0);
  return settings;
}

void parse_quota_extensions(const Json& json, Settings& settings) {
  settings.has_counter = field_or(json, "SharedCounter", false);
  settings.counter_timeout = field_or(json, "CounterTimeoutUs", settings.counter_timeout);
  settings.meter_period = field_or<Micros>(json, "MeteringUs", 0);
  settings.max_request_units = field_or(json, "Largest", 1.0);
  settings.units_settled_later = field_or(json, "CostAfter", false);
}

void parse_limits(const Json& json, Settings& settings) {
  settings.max_attempts = field_or(json, "MaxAttempts", 1);
  settings.health_checks_allowed = field_or(json, "Probes", false);
  settings.cancellation_allowed = field_or(json, "MayCancel", false);
  settings.retry_after_allowed = field_or(json, "RetryAfter", false);
  settings.max_retry_after = field_or<Micros>(json, "MaxRetryAfterUs", 0);
}

void parse_obligations(const Json& json, Settings& settings) {
  settings.response_grace = field_or<Micros>(json, "GraceToAnswerUs", 0);
  settings.drain_grace = field_or<Micros>(json, "StopSendingWithinUs", 0);
  settings.slow_start_min_fraction = field_or(json, "ColdShare", 1.0);
  settings.slow_start_duration = field_or<Micros>(json, "ColdUs", 0);
  settings.slow_start_overload_factor = field_or(json, "TipMultiple", 1.0);
  settings.slow_start_overload_window = field_or<Micros>(json, "TipAfterUs", 0);
}

}  // namespace

Settings parse_settings(const Json& json) {
  if (!json.is_object()) {
    throw JsonShapeError("the settings are not a JSON object");
  }
  Settings settings;
  settings.zone = field_or<std::string>(json, "Az", "");
  for (const Json& request_class : section_or_empty(json, "Classes")) {
    settings.classes.push_back(parse_class(request_class));
  }
  for (const Json& plan : section_or_empty(json, "TiersOfService")) {
    settings.plans.push_back(parse_plan(plan));
  }
  settings.gateway_count = field_or(json, "ReplicasOfMe", 1);
  settings.gateway_index = field_or(json, "Position", 0);
  settings.clock_tick = field_or(json, "TickUs", settings.clock_tick);
  parse_quota_extensions(section_or_empty(json, "Extra"), settings);
  parse_limits(section_or_empty(json, "Limits"), settings);
  parse_obligations(section_or_empty(json, "Obligations"), settings);
  return settings;
}

}  // namespace quota_gateway
