// Settings of a gateway: request classes, quota plans and the limits of its deployment.
//
// Plain values for the decision module. src/settings parses and validates them from the operators'
// JSON. The defaults apply to a deployment that configures no value.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Whether a request may run more than once.
enum class Idempotency {
  kIdempotent,      // may be repeated anywhere
  kIdempotencyKey,  // may be repeated at servers that recognise its key, see DedupScope
  kNonIdempotent    // not repeated after an attempt that may have run
};

// The set of servers that share a record of idempotency keys.
enum class DedupScope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  std::string name;
  // A response within this time earns the request's full value.
  Micros latency_objective = 1'000'000;
  // How long the client waits for a response, over all attempts.
  Micros deadline = 4'000'000;
  double priority_weight = 1;
  // Fraction of the value that a response earns between the objective and the deadline.
  double late_value_fraction = 0;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kCell;
  // How long servers recognise a repeated idempotency key.
  Micros dedup_window = 0;
  bool streamed = false;
};

// One plan. Its limits apply to each customer over all gateways together; 0 means no limit.
struct PlanSettings {
  std::string name;
  // Units per second, and the maximum burst in units.
  double quota_rate = 0;
  double quota_burst = 0;
  int max_concurrent_attempts = 0;
  // Hard limit on forwarded units, whether or not they are within the quota: units per second, and
  // the maximum burst in units.
  double ceiling_rate = 0;
  double ceiling_burst = 0;
  // Not read by the decision module.
  double ceiling_slack = 0;
  // Multiplies the value of the customer's requests.
  double value_factor = 1;
  // Fractions of its value that a request earns and costs if it is forwarded beyond the quota.
  double over_quota_value = 0;
  double over_quota_cost = 1;
};

// All settings of one gateway.
struct Settings {
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;

  // Maximum number of customers whose state is kept; 0: no limit. If a request of another customer
  // arrives, those without open requests that have been idle longest are forgotten. A customer that
  // comes again begins with a full quota and an empty share of its ceiling.
  std::size_t max_customers = 0;

  // Number of gateways in the fleet, and the index of this gateway, from 0.
  int gateway_count = 1;
  int gateway_index = 0;
  // Resolution of the clock behind the `now` of Gateway::handle().
  Micros clock_tick = 1'000;

  bool has_counter = false;
  Micros counter_timeout = 50'000;
  // Interval of the servers' reports of a customer's quota usage; 0: no reports.
  Micros meter_period = 0;

  double max_request_units = 1;
  // A request's units are an estimate until its first successful response reports the actual units.
  bool units_settled_later = false;

  int max_attempts = 1;
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;
  bool retry_after_allowed = false;
  Micros max_retry_after = 0;

  // Grace periods of the deployment's rules: for a final response, and for attempts to a draining
  // endpoint.
  Micros response_grace = 0;
  Micros drain_grace = 0;

  // The minimum fraction of its full capacity that a new endpoint has at its start, and the time
  // after which it has all of its capacity.
  double slow_start_min_fraction = 1;
  Micros slow_start_duration = 0;
  // A new endpoint fails if its load exceeds this multiple of its present capacity over this
  // window.
  double slow_start_overload_factor = 1;
  Micros slow_start_overload_window = 0;
};

}  // namespace quota_gateway
