// What a gateway is configured with: request classes, quota plans and the limits of its deployment.
//
// Plain values, read by the decision module alone. They come from the operators' JSON
// (src/settings) and are validated there; the defaults are those of a deployment that names
// nothing.
#pragma once

#include <string>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Whether a request may run more than once.
enum class Idempotency {
  kIdempotent,      // may be repeated anywhere
  kIdempotencyKey,  // may be repeated where its key is remembered, see DedupScope
  kNonIdempotent    // never repeated once it may have run
};

// Servers that share the memory of idempotency keys.
enum class DedupScope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  std::string name;
  // A response within this earns the request's full value.
  Micros latency_objective = 1'000'000;
  // How long the client waits, over all attempts together.
  Micros deadline = 4'000'000;
  double priority_weight = 1;
  // Fraction of the value that a response earns after the objective but before the deadline.
  double late_value_fraction = 0;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kCell;
  // How long servers recognise a repeated idempotency key.
  Micros dedup_window = 0;
  bool streamed = false;
};

// One plan. Its quotas hold for each customer over all gateways together; 0 means that there is
// none.
struct PlanSettings {
  std::string name;
  // Units a second, and units at once.
  double quota_rate = 0;
  double quota_burst = 0;
  int max_concurrent_attempts = 0;
  // Hard limit on forwarded units, inside the quota or not.
  double ceiling_rate = 0;
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  // Multiplies the value of the customer's requests.
  double value_factor = 1;
  // Fractions of its value that a request forwarded beyond the quota earns and costs.
  double over_quota_value = 0;
  double over_quota_cost = 1;
};

// All settings of one gateway.
struct Settings {
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;

  // Number of gateways in the fleet, and which of them this one is, from 0.
  int gateway_count = 1;
  int gateway_index = 0;
  // Resolution of the clock that drives the module.
  Micros clock_tick = 1'000;

  bool has_counter = false;
  Micros counter_timeout = 50'000;
  // How often servers report a customer's quota usage; 0: never.
  Micros meter_period = 0;

  double max_request_units = 1;
  // A request's units are an estimate until its first good response states them.
  bool units_settled_later = false;

  int max_attempts = 1;
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;
  bool retry_after_allowed = false;
  Micros max_retry_after = 0;

  // Grace periods of the deployment's rules: for a final response, and for attempts to an endpoint
  // that drains.
  Micros response_grace = 0;
  Micros drain_grace = 0;

  // A new endpoint's fraction of its full capacity, at the least, and when it has all of it, at the
  // latest.
  double slow_start_min_fraction = 1;
  Micros slow_start_duration = 0;
  // More than this multiple of its present capacity for this long makes a new endpoint fail.
  double slow_start_overload_factor = 1;
  Micros slow_start_overload_window = 0;
};

}  // namespace quota_gateway
