// Reports customers' demand to the counter and reads the totals that all gateways report there.
// QuotaAllocator owns it: report_demand() is called for each request and each period, on_reply()
// for each reply of the counter.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/quota/counter_rate_limiter.hpp"
#include "policy/quota/counter_total_estimator.hpp"
#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

class CounterSync {
 public:
  // All of these must outlive this.
  CounterSync(const Settings& settings, CounterRateLimiter& limiter, std::uint64_t& random)
      : settings_(settings), limiter_(limiter), total_estimator_(random) {}

  // Appends a call that reports the customer's unreported demand, if one is due. Returns whether
  // the customer's first total is on its way and worth waiting for. The customer must stay where it
  // is until the reply.
  bool report_demand(Micros now, CustomerState& customer, std::vector<Action>& actions);

  // Learns from a reply. Returns the customer that it was about, or null if it answers no call made
  // here. `gateway_started_at`: see CounterTotalEstimator::on_total.
  CustomerState* on_reply(Micros now, Micros gateway_started_at, const CounterReply& reply);

 private:
  struct PendingCall {
    CustomerState* customer = nullptr;
    double units = 0;
  };

  bool is_call_due(Micros now, const CustomerState& customer) const;
  void send_call(Micros now, CustomerState& customer, std::vector<Action>& actions);

  const Settings& settings_;
  CounterRateLimiter& limiter_;
  CounterTotalEstimator total_estimator_;
  std::unordered_map<std::int64_t, PendingCall> pending_;  // by name; never iterated
};

}  // namespace quota_gateway::policy
