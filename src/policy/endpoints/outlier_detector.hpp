// Finds endpoints that fail more often than the others and ejects them for some time.
//
// Owned by LoadBalancer; owns Endpoint::outlier. An ejected endpoint gets no attempts for a few
// seconds, and then one at a time, on trial, until one of them succeeds.
#pragma once

#include <cstddef>
#include <deque>

#include "policy/endpoints/endpoint.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class OutlierDetector {
 public:
  OutlierDetector();

  // Endpoints that are up and ejected, or on trial. Valid after update_counts for each endpoint
  // whose `is_up` changed.
  int ejected_count() const { return ejected_count_; }
  int on_trial_count() const { return on_trial_count_; }

  // So many endpoints are ejected that the fault is probably not theirs; ejected ones may then get
  // attempts too.
  bool too_many_ejected(std::size_t endpoints_up) const;

  // Returns whether the endpoint's trial ended by this success.
  bool on_success(Endpoint& endpoint);

  // Returns whether the endpoint was ejected. It must stay in memory until the ejection ends.
  bool on_failure(Micros now, Endpoint& endpoint);

  // A new process serves there: what was learned of the old one is void.
  void on_restart(Endpoint& endpoint);

  // Ends the ejections whose time is over. Returns whether there was any.
  bool end_expired_ejections(Micros now);

  void update_counts(Endpoint& endpoint);

 private:
  struct Ejection {
    Micros ends_at = 0;
    Endpoint* endpoint = nullptr;
  };

  double failure_rate_;  // of all endpoints; smoothed
  int ejected_count_ = 0;
  int on_trial_count_ = 0;
  std::deque<Ejection> ejections_;  // by their end
};

}  // namespace quota_gateway::policy
