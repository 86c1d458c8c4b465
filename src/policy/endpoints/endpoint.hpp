// What a gateway knows of one upstream endpoint that it uses.
//
// EndpointRegistry owns the endpoints and fills in what the list says of them. Each other group of
// fields belongs to one module of this folder; no other module writes it.
#pragma once

#include <cstdint>

#include "quota_gateway/gateway.hpp"
#include "util/decaying_mean.hpp"
#include "util/sliding_window_sum.hpp"

namespace quota_gateway::policy {

// Kept by OutlierDetector.
struct OutlierState {
  bool ejected = false;           // gets no attempts until `ejected_until`
  bool on_trial = false;          // was ejected and has not succeeded since; one attempt at a time
  bool counted_ejected = false;   // in the detector's sums
  bool counted_on_trial = false;  // in the detector's sums
  double log_odds_faulty = 0;     // evidence that it is faulty, over the prior of any endpoint
  Micros ejected_until = 0;
};

// Kept by SlowStart. Work is in seconds of an endpoint's time.
struct SlowStartState {
  SlidingWindowSum work_while_warming;
  double work_this_period = 0;
};

// What the endpoint's load reports say of the other gateways' attempts there. Kept by LoadBalancer.
struct ReportedLoad {
  double attempts_of_others = 0;
  Micros reported_at = 0;
};

struct Endpoint {
  // Kept by EndpointRegistry.
  EndpointEntry entry;
  std::uint64_t ring_position = 0;  // in the order that all gateways agree on
  bool is_up = false;               // listed, and neither draining nor removed

  // Kept by EndpointSubset.
  bool is_in_other_zone = false;

  OutlierState outlier;
  SlowStartState slow_start;

  // Kept by LoadBalancer.
  ReportedLoad reported_load;
  int attempts_in_flight = 0;  // of this gateway
  Micros last_progress_at =
      0;                    // its last answer, or when an attempt came to it with none in flight
  Micros last_used_at = 0;  // last in the subset, or sent to
  DecayingMean relative_duration;  // of its attempts, over what was expected of them

  // Attempts of open requests that point here; the endpoint must stay in memory meanwhile.
  // Increased by LoadBalancer for each attempt sent, decreased by the caller when it forgets the
  // attempt.
  int open_references = 0;
};

// Its weight in the list, or 1 where the list gives none.
double effective_weight(const Endpoint& endpoint);

// How slow the endpoint is against its peers, by its answers and by how long it has answered
// nothing while it has attempts: 1 is as fast as they are. `mean_response_time` is in us; 0 if it
// is not known.
double relative_slowness(Micros now, const Endpoint& endpoint, double mean_response_time);

// Records the duration of an attempt over what was expected of it.
void add_relative_duration(Micros now, Endpoint& endpoint, double relative_duration);

}  // namespace quota_gateway::policy
