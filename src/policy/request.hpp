// Open requests and the attempts made for them. The RequestTable owns the requests; each policy
// module writes only the fields that it is responsible for.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/latency_estimator.hpp"
#include "policy/quota/customer_state.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

struct Endpoint;

// A request class. Open requests keep the class with which they arrived, since a settings change
// replaces the object instead of changing it.
struct RequestClass {
  ClassSettings settings;
  LatencyEstimator latency{settings.latency_objective};
};

// One attempt to have an endpoint answer a request.
struct Attempt {
  Endpoint* endpoint = nullptr;
  Micros sent_at = 0;
  bool in_flight = true;
  bool may_have_run = true;
  // The endpoint has received the complete request. While a long body is still arriving there, the
  // attempt occupies no capacity and does not count as in flight.
  bool fully_written = true;
  bool cancelled_as_stalled = false;  // by this gateway
};

// A request that has arrived and is not yet erased from the RequestTable.
struct Request {
  // Whether the next attempt is the first one.
  bool is_first_attempt() const { return attempts.empty(); }

  std::string id;
  std::shared_ptr<RequestClass> request_class;
  CustomerState* customer = nullptr;
  int max_attempts = 1;

  double units = 1;
  // Units to charge to the quota: `units`, or the expected attempt-seconds if the plan limits
  // concurrent attempts instead of a rate.
  double quota_units = 1;
  double expected_response_time = 0;  // us
  double priority = 1;                // value per us of expected response time; highest first

  Micros arrived_at = 0;
  Micros give_up_at = 0;  // a response after this time has no value
  Micros hold_until = 0;  // while held: rejected at this time if no endpoint has had capacity

  bool over_quota = false;           // as estimated by this gateway
  bool body_pending = false;         // the client is still sending a long body
  bool waiting_for_counter = false;  // no admission decision yet
  bool reservation_tried = false;    // its only try at a shared pool reservation is used
  bool held = false;                 // in the hold queue
  bool done = false;                 // has its final response, or needs none

  std::optional<BudgetSource> charged_to;  // empty if quota_units are not charged
  std::vector<Attempt> attempts;
  int attempts_in_flight = 0;
};

}  // namespace quota_gateway::policy
