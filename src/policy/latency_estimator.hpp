// Mean response time of a request class, and the response time expected of a request of that class
// by its units. Each request class owns one; attempts that complete and requests that arrive feed
// it.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class LatencyEstimator {
 public:
  // `latency_objective`: us; a sixth of it is the first guess of the mean response time.
  explicit LatencyEstimator(Micros latency_objective);

  // Another objective; what was measured stays.
  void set_latency_objective(Micros latency_objective);

  // A request of so many units arrived.
  void on_request(double units);

  // An attempt succeeded after `duration` us.
  void on_success(Micros duration);

  // Mean response time of the class, us.
  double mean() const;

  // Response time expected of a request of so many units, us. Units tell a request's size where
  // they vary within a class.
  double expected(double units) const;

 private:
  Micros latency_objective_;
  double measured_mean_ = 0;  // us; 0 before the first success
  double mean_units_ = 0;     // of a request; 0 before the first request
  int successes_ = 0;
};

}  // namespace quota_gateway::policy
