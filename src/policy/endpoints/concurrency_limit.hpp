// Limits the number of attempts of this gateway that are in flight, depending on response times.
//
// An overloaded endpoint responds more slowly and therefore accumulates attempts, which overloads
// the endpoint further. To prevent this, the limit shrinks while response times are well above
// those of idle endpoints. Otherwise the limit grows while it restricts the gateway. Owned by
// LoadBalancer.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// The properties of a completed attempt that the limit depends on.
struct ConcurrencySample {
  // Duration as a multiple of the latency objective, normalized to an attempt of average size.
  // Ignored unless `has_valid_duration` is true, because not every duration indicates load.
  double objective_fraction = 0;
  bool has_valid_duration = false;
  bool overloaded = false;        // the endpoint rejected the attempt
  double mean_response_time = 0;  // us, of the request class
};

class ConcurrencyLimit {
 public:
  // `settings` must outlive this object and may change at any time.
  explicit ConcurrencyLimit(const Settings& settings) : settings_(settings) {}

  // Sets the number of endpoints that are up and not ejected. The limit is never below this
  // gateway's even share of two attempts per such endpoint.
  void set_healthy_endpoints(int count) { healthy_endpoints_ = count; }

  double limit() const;
  int in_flight() const { return in_flight_; }

  // Returns whether one more attempt may be sent now.
  bool admits(Micros now);

  // Adds `attempts` to the attempts in flight; negative when attempts end.
  void add_in_flight(Micros now, int attempts);

  // Returns how much of the limit was used recently, from 0 (nothing in flight) to 1 (the limit is
  // exceeded). An idle gateway goes from 1 to 0 in two seconds.
  double utilization(Micros now);

  void on_attempt_complete(Micros now, const ConcurrencySample& sample);

  // Multiples of the latency objective; 0 while not known.
  double response_time() const { return response_time_; }
  double idle_response_time() const { return idle_response_time_; }

 private:
  void update_unused_capacity(Micros now);
  void update_response_times(double objective_fraction);

  const Settings& settings_;
  int healthy_endpoints_ = 0;
  int in_flight_ = 0;
  double limit_ = 0;  // without the lower bound that limit() applies

  double response_time_ = 0;
  double long_term_response_time_ = 0;  // smoothed over more samples
  double idle_response_time_ = 0;
  int sample_count_ = 0;

  double unused_capacity_ = 1;  // attempt-seconds; negative if the limit was exceeded
  Micros unused_capacity_at_ = 0;
  Micros reduced_at_ = 0;
};

}  // namespace quota_gateway::policy
