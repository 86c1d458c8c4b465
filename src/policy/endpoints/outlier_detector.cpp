#include "policy/endpoints/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::policy {
namespace {

constexpr double kFaultyFailureRate = 0.6;       // of attempts at a faulty endpoint
constexpr double kMinFailureRate = 0.04;         // of attempts at any endpoint, by chance
constexpr double kFailureRateGain = 1.0 / 40;    // smoothing of the failure rate, per attempt
constexpr double kEjectionLogOdds = 4;           // reached after two failures if failures are rare
constexpr double kMaxEjectedFraction = 0.34;     // above it the fault is probably common to all
constexpr Micros kEjectionDuration = 3'000'000;  // us; then the endpoint is on trial

}  // namespace

OutlierDetector::OutlierDetector() : failure_rate_(kMinFailureRate) {}

bool OutlierDetector::too_many_ejected(std::size_t endpoints_up) const {
  return ejected_count_ > kMaxEjectedFraction * static_cast<double>(endpoints_up);
}

bool OutlierDetector::on_success(Endpoint& endpoint) {
  OutlierState& state = endpoint.outlier;
  failure_rate_ -= kFailureRateGain * failure_rate_;
  const double evidence = std::log((1 - failure_rate_) / (1 - kFaultyFailureRate));
  state.log_odds_faulty = std::max(0.0, state.log_odds_faulty - evidence);
  if (!state.on_trial) {
    return false;
  }
  state.on_trial = false;
  update_counts(endpoint);
  return true;
}

// If a fixed number of consecutive failures were required, a gateway that sends an endpoint few
// attempts would detect a fault late. Instead, the rarer failures are in general, the more each one
// counts. If all endpoints fail, a failure is almost no evidence against a single endpoint.
bool OutlierDetector::on_failure(Micros now, Endpoint& endpoint) {
  OutlierState& state = endpoint.outlier;
  failure_rate_ =
      std::min(kFaultyFailureRate, failure_rate_ + kFailureRateGain * (1 - failure_rate_));
  state.log_odds_faulty += std::log(kFaultyFailureRate / std::max(kMinFailureRate, failure_rate_));
  const bool is_suspect = state.on_trial || state.log_odds_faulty >= kEjectionLogOdds;
  if (!is_suspect || state.ejected_until > now) {
    return false;
  }
  state.ejected_until = now + kEjectionDuration;
  state.ejected = true;
  state.on_trial = true;
  update_counts(endpoint);
  ejections_.push_back({state.ejected_until, &endpoint});
  return true;
}

void OutlierDetector::on_restart(Endpoint& endpoint) {
  OutlierState& state = endpoint.outlier;
  state.on_trial = false;
  state.ejected = false;
  state.log_odds_faulty = 0;
  state.ejected_until = 0;
  update_counts(endpoint);
}

bool OutlierDetector::end_expired_ejections(Micros now) {
  bool any_ended = false;
  while (!ejections_.empty() && ejections_.front().ends_at <= now) {
    Endpoint& endpoint = *ejections_.front().endpoint;
    ejections_.pop_front();
    // A restart may have ended this ejection early, and a later ejection may still be in force.
    if (endpoint.outlier.ejected && endpoint.outlier.ejected_until <= now) {
      endpoint.outlier.ejected = false;
      update_counts(endpoint);
      any_ended = true;
    }
  }
  return any_ended;
}

void OutlierDetector::update_counts(Endpoint& endpoint) {
  OutlierState& state = endpoint.outlier;
  const bool ejected = endpoint.is_up && state.ejected;
  const bool on_trial = endpoint.is_up && state.on_trial;
  ejected_count_ += static_cast<int>(ejected) - static_cast<int>(state.counted_ejected);
  on_trial_count_ += static_cast<int>(on_trial) - static_cast<int>(state.counted_on_trial);
  state.counted_ejected = ejected;
  state.counted_on_trial = on_trial;
}

}  // namespace quota_gateway::policy
