// Learns others' demand and the units that are left from the totals of the counter. CounterSync
// owns it and calls it for each total that was read.
#pragma once

#include <cstdint>

#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

class CounterTotalEstimator {
 public:
  // `random` is the gateway's random state, shared with its other draws; it must outlive this.
  explicit CounterTotalEstimator(std::uint64_t& random) : random_(random) {}

  // The counter reads `total` units under the customer's current name, `added` of which the call
  // itself brought. A total that is less than what this gateway added is not believed.
  // `gateway_started_at`: when this gateway, or its present set of processes, started.
  void on_total(Micros now, Micros gateway_started_at, CustomerState& customer, double total,
                double added);

 private:
  double observed_seconds(Micros now, Micros gateway_started_at, const CustomerState& customer,
                          double increase);
  void apply(Micros now, CustomerState& customer, double increase, double seconds, double added);
  void set_first_budget(CustomerState& customer, double seconds, double added);

  std::uint64_t& random_;
  // Units, over the first totals of names of all customers; old evidence fades.
  double quotas_since_last_read_ = 0;  // what whole quotas would have come to
  double first_totals_ = 0;            // what was read
};

}  // namespace quota_gateway::policy
