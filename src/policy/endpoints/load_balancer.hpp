// Picks the endpoint of each attempt and learns from the outcomes of attempts.
//
// Combines the modules of this folder: the registry of listed endpoints, this gateway's subset,
// outlier detection, slow start and the limit on attempts in flight. Owned and called only by
// Gateway. Deterministic for a given seed. The times passed in must not go backwards.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "policy/endpoints/concurrency_limit.hpp"
#include "policy/endpoints/endpoint.hpp"
#include "policy/endpoints/endpoint_registry.hpp"
#include "policy/endpoints/endpoint_subset.hpp"
#include "policy/endpoints/outcome_counts.hpp"
#include "policy/endpoints/outlier_detector.hpp"
#include "policy/endpoints/slow_start.hpp"
#include "quota_gateway/gateway.hpp"
#include "util/weighted_sample.hpp"

namespace quota_gateway::policy {

// The expected cost of an attempt.
struct AttemptEstimate {
  double work = 0;                // s of endpoint time
  double mean_response_time = 0;  // us, of the request class
};

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  bool cancelled_as_stalled = false;  // by this gateway, because the endpoint made no progress
  double relative_duration = 0;       // as a multiple of the expected duration
  double objective_fraction = 0;      // see ConcurrencySample
  double mean_response_time = 0;      // us, of the request class
};

class LoadBalancer {
 public:
  // `settings` must outlive this object; `on_settings_changed` must be called after each change to
  // them.
  LoadBalancer(const Settings& settings, std::uint64_t seed);
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  void on_settings_changed();
  void update_endpoints(Micros now, const EndpointListUpdate& update);

  // Sets the number of processes that serve as this gateway at the same time.
  void set_process_count(int processes) { slow_start_.set_process_count(processes); }

  // Must be called once every kUpdatePeriod. Updates estimates and forgets endpoints that have not
  // been used for the retention time.
  void on_period(Micros now);

  // Draws a few endpoints and returns the one where an attempt is expected to end soonest, or null
  // if no endpoint can take the attempt now. Considers only endpoints for which
  // `is_allowed(const Endpoint&)` returns true. The endpoint stays valid while its
  // `open_references` is not 0.
  template <typename IsAllowed>
  Endpoint* pick(Micros now, const AttemptEstimate& attempt, IsAllowed is_allowed);

  // Returns whether an allowed endpoint is not ejected, even if it cannot take an attempt now.
  template <typename IsAllowed>
  bool any_available(Micros now, IsAllowed is_allowed);

  // Must be called when an attempt of this work (s) is sent. Increments the endpoint's
  // `open_references`.
  void on_attempt_sent(Micros now, Endpoint& endpoint, double work);

  // Adds `attempts` to the endpoint's attempts in flight; negative when attempts end. An attempt is
  // in flight from the last byte of its request to its end.
  void add_in_flight(Micros now, Endpoint& endpoint, int attempts);

  // Returns whether the attempt caused the endpoint's ejection. `load` is the load report in the
  // response.
  bool on_attempt_complete(Micros now, Endpoint& endpoint, const AttemptResult& result,
                           const LoadReport& load);

  // Must be called when a response is cut off after its attempt was reported as successful. Returns
  // whether this caused the endpoint's ejection.
  bool on_response_aborted(Micros now, const std::string& server);

  // Returns the endpoints that this gateway uses, in ring order. Valid until the next call of a
  // non-const function.
  const std::vector<Endpoint*>& subset(Micros now);

  // Returns whether slow start lets an attempt of this work (s) be sent to the endpoint.
  bool slow_start_admits(Micros now, Endpoint& endpoint, double work) const;

  // Maximum number of attempts of this gateway in flight.
  double in_flight_limit() const { return concurrency_limit_.limit(); }

  // Returns how much of that limit was used recently, from 0 (nothing in flight) to 1 (the limit is
  // exceeded).
  double utilization(Micros now) { return concurrency_limit_.utilization(now); }

  // Number of endpoints that are draining, or were ejected and have not succeeded since.
  int unavailable_endpoints() const;

  // Number of endpoints that have state in memory.
  std::size_t tracked_endpoints() const { return registry_.in_use_count(); }

  // Returns a summary for the log: attempts in flight, response times as multiples of the latency
  // objective, ejected endpoints, and the outcomes of attempts since the last call.
  std::string describe_state(Micros now);

 private:
  // Number of endpoints that a pick considers in a large subset; more only while none of them is a
  // candidate.
  static constexpr std::size_t kConsideredPerPick = 16;

  int healthy_endpoints() const;
  void on_health_changed();
  std::size_t first_considered(std::size_t subset_size);
  std::size_t sample_size() const;
  double max_attempts_per_speed() const;
  void consider(Micros now, Endpoint& endpoint, const AttemptEstimate& attempt,
                double attempts_per_speed);
  bool is_selectable(const Endpoint& endpoint) const;
  bool on_failure(Micros now, Endpoint& endpoint);

  const Settings& settings_;
  std::uint64_t random_state_;
  EndpointRegistry registry_;
  SlowStart slow_start_;
  EndpointSubset subset_;
  OutlierDetector outlier_detector_;
  ConcurrencyLimit concurrency_limit_;
  WeightedSample<Endpoint> candidates_;  // of one pick; a member to reuse its memory

  OutcomeCounts outcome_counts_;
  Micros retention_;  // endpoints that were not used for longer are forgotten
};

template <typename IsAllowed>
Endpoint* LoadBalancer::pick(Micros now, const AttemptEstimate& attempt, IsAllowed is_allowed) {
  const std::vector<Endpoint*>& endpoints = subset(now);
  if (!concurrency_limit_.admits(now)) {
    return nullptr;
  }
  candidates_.clear();
  const double attempts_per_speed = max_attempts_per_speed();
  const std::size_t size = endpoints.size();
  const std::size_t first = first_considered(size);
  for (std::size_t i = 0; i < size && (i < kConsideredPerPick || candidates_.empty()); ++i) {
    Endpoint& endpoint = *endpoints[first + i < size ? first + i : first + i - size];
    if (is_allowed(endpoint)) {
      consider(now, endpoint, attempt, attempts_per_speed);
    }
  }
  return candidates_.cheapest_of(sample_size());
}

template <typename IsAllowed>
bool LoadBalancer::any_available(Micros now, IsAllowed is_allowed) {
  const std::vector<Endpoint*>& endpoints = subset(now);
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const Endpoint* endpoint) {
    return !endpoint->outlier.ejected && is_allowed(*endpoint);
  });
}

}  // namespace quota_gateway::policy
