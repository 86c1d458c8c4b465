// Detects endpoints that fail more often than the others and ejects them temporarily.
//
// Owned by LoadBalancer; maintains Endpoint::outlier. An ejected endpoint gets no attempts for a
// few seconds, unless too many endpoints are ejected. The endpoint is then on trial: it gets one
// attempt at a time until one succeeds.
#pragma once

#include <cstddef>
#include <deque>

#include "policy/endpoints/endpoint.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class OutlierDetector {
 public:
  OutlierDetector();

  // Number of endpoints that are up and ejected, or up and on trial. Valid only if update_counts
  // was called for each endpoint after a change of its `is_up`.
  int ejected_count() const { return ejected_count_; }
  int on_trial_count() const { return on_trial_count_; }

  // Returns whether so many endpoints are ejected that the fault is probably not their own. Ejected
  // endpoints may then get attempts too.
  bool too_many_ejected(std::size_t endpoints_up) const;

  // Returns whether this success ended a trial of the endpoint.
  bool on_success(Endpoint& endpoint);

  // Returns whether this failure ejected the endpoint. An ejected endpoint must stay in memory
  // until its ejection ends.
  bool on_failure(Micros now, Endpoint& endpoint);

  // Must be called when the endpoint's process has restarted. Ends an ejection or trial and
  // discards the evidence, because these concern the previous process.
  void on_restart(Endpoint& endpoint);

  // Ends the ejections that have expired. Returns whether there were any.
  bool end_expired_ejections(Micros now);

  // Must be called after a change of the endpoint's `is_up`.
  void update_counts(Endpoint& endpoint);

 private:
  struct Ejection {
    Micros ends_at = 0;
    Endpoint* endpoint = nullptr;
  };

  double failure_rate_;  // of all endpoints; smoothed
  int ejected_count_ = 0;
  int on_trial_count_ = 0;
  std::deque<Ejection> ejections_;  // ordered by `ends_at`
};

}  // namespace quota_gateway::policy
