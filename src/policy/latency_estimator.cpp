#include "policy/latency_estimator.hpp"

#include <algorithm>

namespace quota_gateway::policy {
namespace {

constexpr double kSmoothing = 0.02;         // minimum weight of the newest sample in a running mean
constexpr double kInitialGuessWeight = 4;   // successes that the initial guess counts as
constexpr double kInitialGuessDivisor = 6;  // of the latency objective

}  // namespace

LatencyEstimator::LatencyEstimator(Micros latency_objective)
    : latency_objective_(latency_objective) {}

void LatencyEstimator::set_latency_objective(Micros latency_objective) {
  latency_objective_ = latency_objective;
}

void LatencyEstimator::on_request(double units) {
  const double gain = mean_units_ > 0 ? kSmoothing : 1.0;
  mean_units_ += gain * (units - mean_units_);
}

void LatencyEstimator::on_success(Micros duration) {
  ++successes_;
  const double gain = std::max(kSmoothing, 1 / (kInitialGuessWeight + successes_));
  measured_mean_ = mean() + gain * (double(duration) - mean());
}

double LatencyEstimator::mean() const {
  return measured_mean_ > 0 ? measured_mean_ : double(latency_objective_) / kInitialGuessDivisor;
}

double LatencyEstimator::expected(double units) const {
  const bool has_known_size = mean_units_ > 0 && units > 0;
  return mean() * (has_known_size ? units / mean_units_ : 1.0);
}

}  // namespace quota_gateway::policy
