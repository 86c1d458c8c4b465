#include "policy/endpoints/slow_start.hpp"

#include <algorithm>

#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// Fraction of a warming endpoint's budget that this gateway uses. Leaves a margin because estimates
// differ between gateways.
constexpr double kBudgetSafetyFactor = 0.55;

// Smoothing of the rate sent to warm endpoints, per period.
constexpr double kPeerRateGain = 0.3;

}  // namespace

double SlowStart::warmup_fraction(Micros now, const Endpoint& endpoint) const {
  if (endpoint.entry.started_at <= 0 || settings_.slow_start_duration <= 0) {
    return 1;
  }
  const double least = settings_.slow_start_min_fraction;
  const double age = static_cast<double>(now - endpoint.entry.started_at) /
                     static_cast<double>(settings_.slow_start_duration);
  return std::clamp(least + (1 - least) * age, least, 1.0);
}

// A warming endpoint that gets too much work fails permanently. This gateway therefore stays within
// its own share of the endpoint's capacity. The work that it sends to a warm endpoint serves as the
// estimate of its share of a warm endpoint's load.
bool SlowStart::admits(Micros now, Endpoint& endpoint, double work, SubsetShare share) const {
  const double warmup = warmup_fraction(now, endpoint);
  if (warmup >= 1) {
    return true;
  }
  const auto window = static_cast<double>(settings_.slow_start_overload_window);
  const double sharing_gateways = settings_.gateway_count * process_count_ *
                                  static_cast<double>(share.subset_size) /
                                  static_cast<double>(std::max<std::size_t>(1, share.endpoints_up));
  const double budget = kBudgetSafetyFactor * settings_.slow_start_overload_factor * warmup *
                        peer_rate_ * effective_weight(endpoint) * window / kMicrosPerSecond /
                        process_count_;
  // If the attempt exceeds the budget of one window, the span grows in proportion, so that attempts
  // are spaced further apart.
  const double span = window * std::clamp(work / std::max(budget, 1e-9), 1.0, sharing_gateways);
  SlidingWindowSum& recent_work = endpoint.slow_start.work_while_warming;
  const double spent = recent_work.sum_within(now, span);
  return recent_work.empty() || spent + work <= budget;
}

void SlowStart::on_attempt_sent(Micros now, Endpoint& endpoint, double work) const {
  endpoint.slow_start.work_this_period += work;
  if (warmup_fraction(now, endpoint) < 1) {
    endpoint.slow_start.work_while_warming.add(now, work);
  }
}

void SlowStart::update_peer_rate(double work, double total_weight) {
  if (total_weight <= 0) {
    return;
  }
  peer_rate_ +=
      kPeerRateGain * (work / total_weight / (kUpdatePeriod / kMicrosPerSecond) - peer_rate_);
}

bool SlowStart::has_relevant_state(Micros now, const Endpoint& endpoint) const {
  return !endpoint.slow_start.work_while_warming.empty() && warmup_fraction(now, endpoint) < 1;
}

}  // namespace quota_gateway::policy
