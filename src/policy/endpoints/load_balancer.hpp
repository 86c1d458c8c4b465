// Picks the endpoint of each attempt and learns from how attempts end.
//
// Ties the modules of this folder together: the registry of the list, this gateway's subset of it,
// outlier detection, slow start and the limit of attempts in flight. Owned and called by the
// Gateway alone; deterministic for a seed. Instants must not go backwards.
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

// What a caller expects of an attempt.
struct AttemptEstimate {
  double work = 0;                // s of an endpoint's time
  double mean_response_time = 0;  // us, of its class
};

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  bool cancelled_as_stalled = false;  // by this gateway, since its endpoint made no progress
  double relative_duration = 0;       // over what was expected of it
  double objective_fraction = 0;      // its duration over the latency objective, scaled to its size
  double mean_response_time = 0;      // us, of its class
};

class LoadBalancer {
 public:
  // `settings` must outlive this object; call `settings_changed` after each change of it.
  LoadBalancer(const Settings& settings, std::uint64_t seed);
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  void settings_changed();
  void update_endpoints(Micros now, const EndpointListUpdate& update);

  // So many processes of this gateway run side by side.
  void set_process_count(int processes) { slow_start_.set_process_count(processes); }

  // Must be called once every kUpdatePeriod: updates estimates and forgets endpoints that were not
  // used for long.
  void on_period(Micros now);

  // The endpoint where an attempt should end soonest, or null if none can take it now. Considers
  // those for which `is_allowed(const Endpoint&)` is true. The endpoint stays valid while its
  // `open_references` is not 0.
  template <typename IsAllowed>
  Endpoint* pick(Micros now, const AttemptEstimate& attempt, IsAllowed is_allowed);

  // Is there an allowed endpoint that is not ejected, whether or not it can take an attempt at this
  // moment?
  template <typename IsAllowed>
  bool any_available(Micros now, IsAllowed is_allowed);

  // An attempt of this work (s) is sent: adds to the endpoint's `open_references`.
  void on_attempt_sent(Micros now, Endpoint& endpoint, double work);

  // `attempts` more are with the endpoint, from the last byte of their requests to their end;
  // negative when they end.
  void add_in_flight(Micros now, Endpoint& endpoint, int attempts);

  // Returns whether the endpoint was ejected for it. `load` is what the endpoint reported with the
  // answer.
  bool on_attempt_complete(Micros now, Endpoint& endpoint, const AttemptResult& result,
                           const LoadReport& load);

  // An answer that had begun broke off. Returns whether the endpoint was ejected for it.
  bool on_response_aborted(Micros now, const std::string& server);

  // The endpoints that this gateway uses, in ring order. Valid until the next call of a non-const
  // function.
  const std::vector<Endpoint*>& subset(Micros now);

  // May an attempt of this work (s) be sent to the endpoint, as far as its warm-up goes?
  bool slow_start_admits(Micros now, Endpoint& endpoint, double work) const;

  // How many attempts of this gateway may be in flight.
  double in_flight_limit() const { return concurrency_limit_.limit(); }

  // How much of that limit was used in the last second: 0 when nothing is in flight, 1 and more
  // when it is exceeded.
  double utilization(Micros now) { return concurrency_limit_.utilization(now); }

  // Endpoints that are draining, or were ejected and have not succeeded since.
  int unavailable_endpoints() const;

  // Endpoints of which state is kept.
  std::size_t tracked_endpoints() const { return registry_.in_use_count(); }

  // For the log: attempts in flight, response times over the latency objective, ejected endpoints,
  // and how attempts have ended since the last call.
  std::string describe_state(Micros now);

 private:
  // How many endpoints of a large subset an attempt considers.
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
  WeightedSample<Endpoint> candidates_;  // of one pick; a member, so that its memory is used again

  OutcomeCounts outcome_counts_;
  Micros retention_;  // an endpoint that was not used for longer is forgotten
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
