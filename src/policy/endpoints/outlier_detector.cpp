#include "policy/endpoints/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::policy {
namespace {

constexpr double kFaultyFailureRate = 0.6;       // of the attempts to a faulty endpoint
constexpr double kLeastFailureRate = 0.04;       // of those to any endpoint, by chance
constexpr double kFailureRateGain = 1.0 / 40;    // smoothing of the failure rate, per answer
constexpr double kEjectionLogOdds = 4;           // reached by two failures where they are rare
constexpr double kMaxEjectedFraction = 0.34;     // above it the fault is probably everyone's
constexpr Micros kEjectionDuration = 3'000'000;  // us; then the endpoint is on trial

}  // namespace

OutlierDetector::OutlierDetector() : failure_rate_(kLeastFailureRate) {}

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

// A gateway that sends an endpoint little waits long for failures in a row. So each failure counts
// by how rare failures are; where all endpoints fail, it is next to no evidence against one.
bool OutlierDetector::on_failure(Micros now, Endpoint& endpoint) {
  OutlierState& state = endpoint.outlier;
  failure_rate_ =
      std::min(kFaultyFailureRate, failure_rate_ + kFailureRateGain * (1 - failure_rate_));
  state.log_odds_faulty +=
      std::log(kFaultyFailureRate / std::max(kLeastFailureRate, failure_rate_));
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
    // A restart may have ended the ejection, and a later one may have begun since.
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
