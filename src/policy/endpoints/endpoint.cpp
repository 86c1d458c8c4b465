#include "policy/endpoints/endpoint.hpp"

#include <algorithm>

namespace quota_gateway::policy {
namespace {

// The weight of the assumption that the endpoint is as good as its peers, in samples.
constexpr double kPriorSamples = 8;

// Evidence fades with this time constant, so that a slow endpoint gets attempts again, a few at
// first.
constexpr Micros kDurationMemory = 4'000'000;

// Without an answer for longer than this many mean response times, an endpoint counts as slow.
constexpr double kSilenceTolerance = 3;

}  // namespace

double effective_weight(const Endpoint& endpoint) {
  return endpoint.entry.weight > 0 ? endpoint.entry.weight : 1;
}

double relative_slowness(Micros now, const Endpoint& endpoint, double mean_response_time) {
  const double by_answers = endpoint.relative_duration.mean(now, kDurationMemory, kPriorSamples);
  if (endpoint.attempts_in_flight == 0 || mean_response_time <= 0) {
    return by_answers;
  }
  const auto silent_for = static_cast<double>(now - endpoint.last_progress_at);
  return std::max(by_answers, silent_for / (kSilenceTolerance * mean_response_time));
}

void add_relative_duration(Micros now, Endpoint& endpoint, double relative_duration) {
  endpoint.relative_duration.add(now, kDurationMemory, relative_duration);
}

}  // namespace quota_gateway::policy
