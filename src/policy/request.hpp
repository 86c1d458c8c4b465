// What the gateway knows of an open request and of the attempts made for it. Requests live in the
// RequestTable; the policy modules change their fields, each only those of its own concern.
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

// One class of requests. Open requests share the class that they arrived with: a class whose
// settings change is a new object.
struct RequestClass {
  ClassSettings settings;
  LatencyEstimator latency{settings.latency_objective};
};

// One attempt to have a request answered by an endpoint.
struct Attempt {
  Endpoint* endpoint = nullptr;
  Micros sent_at = 0;
  bool in_flight = true;
  bool may_have_run = true;
  // The endpoint has all of the request. A long body that still arrives slowly occupies nothing
  // there.
  bool fully_written = true;
  bool cancelled_as_stalled = false;  // by this gateway
};

struct Request {
  // Whether the next attempt is the first.
  bool is_first_attempt() const { return attempts.empty(); }

  std::string id;
  std::shared_ptr<RequestClass> request_class;
  CustomerState* customer = nullptr;
  int max_attempts = 1;

  double units = 1;
  // Charged to the quota: units, or attempt-seconds under a limit on concurrent attempts.
  double quota_units = 1;
  double expected_response_time = 0;  // us
  double priority = 1;                // value per us of expected work; the highest is sent first

  Micros arrived_at = 0;
  Micros give_up_at = 0;  // an answer after this earns nothing
  Micros hold_until = 0;  // while held: when it is rejected if no endpoint had capacity

  bool over_quota = false;           // as far as this gateway can tell
  bool body_pending = false;         // the client is still sending a long body
  bool waiting_for_counter = false;  // not decided yet
  bool reservation_tried = false;    // it had its one chance to reserve units from the shared pool
  bool held = false;                 // its id is in the hold queue
  bool done = false;                 // has its final answer, or needs none

  std::optional<BudgetSource> charged_to;  // where its quota_units were charged, if they were
  std::vector<Attempt> attempts;
  int attempts_in_flight = 0;
};

}  // namespace quota_gateway::policy
