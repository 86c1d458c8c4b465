// The state that a gateway keeps for each upstream endpoint that it uses.
//
// EndpointRegistry owns the endpoints and sets the fields that come from the endpoint list. Each
// other group of fields is maintained by the module of this folder that is named beside it.
#pragma once

#include <cstdint>

#include "quota_gateway/gateway.hpp"
#include "util/decaying_mean.hpp"
#include "util/sliding_window_sum.hpp"

namespace quota_gateway::policy {

// Maintained by OutlierDetector.
struct OutlierState {
  bool ejected = false;           // until `ejected_until`
  bool on_trial = false;          // no success since the last ejection; one attempt at a time
  bool counted_ejected = false;   // included in the detector's count of ejected endpoints
  bool counted_on_trial = false;  // included in the detector's count of endpoints on trial
  double log_odds_faulty = 0;     // evidence that the endpoint is faulty, relative to the prior
  Micros ejected_until = 0;
};

// Maintained by SlowStart. Work is in seconds of endpoint time.
struct SlowStartState {
  SlidingWindowSum work_while_warming;
  double work_this_period = 0;  // reset by LoadBalancer
};

// The attempts of other gateways at the endpoint, estimated from its load reports. Maintained by
// LoadBalancer.
struct ReportedLoad {
  double attempts_of_others = 0;
  Micros reported_at = 0;
};

struct Endpoint {
  // Maintained by EndpointRegistry.
  EndpointEntry entry;
  std::uint64_t ring_position = 0;  // hash of its name: the same order on all gateways
  bool is_up = false;               // listed, and neither draining nor removed

  // Maintained by EndpointSubset.
  bool is_in_other_zone = false;

  OutlierState outlier;
  SlowStartState slow_start;

  // Maintained by LoadBalancer.
  ReportedLoad reported_load;
  int attempts_in_flight = 0;  // of this gateway
  // When the endpoint last responded with a success or an error, or when an attempt became the only
  // one in flight there.
  Micros last_progress_at = 0;
  // When the endpoint was last part of the subset, sent an attempt, updated or ejected. Also set by
  // EndpointSubset.
  Micros last_used_at = 0;
  DecayingMean relative_duration;  // durations of attempts over their expected durations

  // Number of attempts of open requests that refer to this endpoint. While there are any, the
  // endpoint must stay in memory. Incremented by LoadBalancer for each attempt sent, decremented by
  // the caller when the attempt is erased.
  int open_references = 0;
};

// Returns the endpoint's weight in the list, or 1 if that is not positive.
double effective_weight(const Endpoint& endpoint);

// Returns how slow the endpoint is relative to its peers: 1 is as fast as they are, 2 takes twice
// as long. Depends on the durations of past attempts and, while attempts are in flight, on the time
// without progress. `mean_response_time` is in us; 0 if it is not known.
double relative_slowness(Micros now, const Endpoint& endpoint, double mean_response_time);

// Records the duration of an attempt, as a multiple of its expected duration.
void add_relative_duration(Micros now, Endpoint& endpoint, double relative_duration);

}  // namespace quota_gateway::policy
