// Limits how many attempts of this gateway are in flight, by how response times compare with those
// when endpoints were idle.
//
// Endpoints that hold too much become slower, which makes them hold still more. So the limit
// shrinks while response times are well above the idle ones, and grows while it binds and they are
// not. Owned by LoadBalancer.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// A completed attempt, as the limit sees it.
struct ConcurrencySample {
  // Its duration over the latency objective, scaled to its size. Not used if the duration says
  // nothing of the load.
  double objective_fraction = 0;
  bool has_valid_duration = false;
  bool overloaded = false;        // its endpoint rejected it
  double mean_response_time = 0;  // us, of its class
};

class ConcurrencyLimit {
 public:
  // `settings` must outlive this object and may change at any time.
  explicit ConcurrencyLimit(const Settings& settings) : settings_(settings) {}

  // Endpoints that are up and not ejected. The limit is never below this gateway's even share of
  // two attempts each.
  void set_healthy_endpoints(int count) { healthy_endpoints_ = count; }

  double limit() const;
  int in_flight() const { return in_flight_; }

  // May one more attempt be sent now?
  bool admits(Micros now);

  // `attempts` more are in flight; negative when they end.
  void add_in_flight(Micros now, int attempts);

  // How much of the limit was used in the last second: 0 when nothing is in flight, 1 and more when
  // it is exceeded.
  double utilization(Micros now);

  void on_attempt_complete(Micros now, const ConcurrencySample& sample);

  // Over the latency objective; 0 while not known.
  double response_time() const { return response_time_; }
  double idle_response_time() const { return idle_response_time_; }

 private:
  void update_unused_capacity(Micros now);
  void update_response_times(double objective_fraction);

  const Settings& settings_;
  int healthy_endpoints_ = 0;
  int in_flight_ = 0;
  double limit_ = 0;  // before its lower bound

  double response_time_ = 0;
  double slow_response_time_ = 0;  // smoothed over more answers
  double idle_response_time_ = 0;
  int answers_ = 0;

  double unused_capacity_ = 1;  // attempt-seconds; negative if more was in flight than the limit
  Micros unused_capacity_at_ = 0;
  Micros reduced_at_ = 0;
};

}  // namespace quota_gateway::policy
