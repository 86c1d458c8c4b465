// Estimates the mean response time of a request class, and the expected response time of a single
// request from its units. Each request class owns one estimator; completed attempts and arriving
// requests update it.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class LatencyEstimator {
 public:
  // `latency_objective` is in microseconds; a sixth of it is the initial guess of the mean response
  // time.
  explicit LatencyEstimator(Micros latency_objective);

  // Changes the latency objective; recorded measurements stay in effect.
  void set_latency_objective(Micros latency_objective);

  // Records the arrival of a request of this many units.
  void on_request(double units);

  // Records an attempt that succeeded after `duration` microseconds.
  void on_success(Micros duration);

  // Mean response time of the class, in microseconds.
  double mean() const;

  // Expected response time of a request of this many units, in microseconds: proportional to its
  // units, which indicate the size of a request where they vary within a class.
  double expected(double units) const;

 private:
  Micros latency_objective_;
  double measured_mean_ = 0;  // us; 0 before the first success
  double mean_units_ = 0;     // per request; 0 before the first request
  int successes_ = 0;
};

}  // namespace quota_gateway::policy
