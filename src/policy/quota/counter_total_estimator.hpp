// Estimates the other gateways' demand and a customer's remaining tokens from the counter's totals.
// CounterSync owns the estimator and calls it for each total that it reads.
#pragma once

#include <cstdint>

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Updates customers' estimates from counter totals.
class CounterTotalEstimator {
 public:
  // `random` is the state of the gateway's random generator, which other objects use too. It must
  // outlive this object.
  explicit CounterTotalEstimator(std::uint64_t& random) : random_(random) {}

  // The counter returned `total` units for the customer's present key, including the `added` units
  // of the call itself. The estimates ignore a total that grew by less than this gateway added.
  // `gateway_started_at`: when this gateway, or its present set of processes, started.
  void on_total(Micros now, Micros gateway_started_at, CustomerState& customer, double total,
                double added);

 private:
  double observed_seconds(Micros now, Micros gateway_started_at, const CustomerState& customer,
                          double increase);
  void apply(Micros now, CustomerState& customer, double increase, double seconds, double added);
  void set_first_budget(CustomerState& customer, double seconds, double added);

  std::uint64_t& random_;
  // Decaying sums, in units, over the first total of each key, for all customers.
  double full_quota_units_ = 0;   // units that the full quotas allowed in the observed times
  double first_total_units_ = 0;  // units of the totals
};

}  // namespace quota_gateway::policy
