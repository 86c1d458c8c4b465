#include "policy/endpoints/endpoint.hpp"

#include <algorithm>

namespace quota_gateway::policy {
namespace {

// Weight, in samples, of the prior assumption that an endpoint is as fast as its peers.
constexpr double kPriorSamples = 8;

// us. Samples decay with this time constant, so that an endpoint that was slow gradually gets
// attempts again.
constexpr Micros kDurationTimeConstant = 4'000'000;

// Number of mean response times without progress after which an endpoint counts as slow.
constexpr double kNoProgressTolerance = 3;

}  // namespace

double effective_weight(const Endpoint& endpoint) {
  return endpoint.entry.weight > 0 ? endpoint.entry.weight : 1;
}

double relative_slowness(Micros now, const Endpoint& endpoint, double mean_response_time) {
  const double by_durations =
      endpoint.relative_duration.mean(now, kDurationTimeConstant, kPriorSamples);
  if (endpoint.attempts_in_flight == 0 || mean_response_time <= 0) {
    return by_durations;
  }
  const auto time_without_progress = static_cast<double>(now - endpoint.last_progress_at);
  return std::max(by_durations,
                  time_without_progress / (kNoProgressTolerance * mean_response_time));
}

void add_relative_duration(Micros now, Endpoint& endpoint, double relative_duration) {
  endpoint.relative_duration.add(now, kDurationTimeConstant, relative_duration);
}

}  // namespace quota_gateway::policy
