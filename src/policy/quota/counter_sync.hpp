// Reports customers' demand to the counter and reads the totals over all gateways. QuotaAllocator
// owns the object, calls report_demand() for each request and in each update period, and calls
// on_reply() for each reply of the counter.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/quota/counter_rate_limiter.hpp"
#include "policy/quota/counter_total_estimator.hpp"
#include "policy/quota/customer_state.hpp"

namespace quota_gateway::policy {

// Sends the calls that report demand and applies their replies.
class CounterSync {
 public:
  // All arguments must outlive this object.
  CounterSync(const Settings& settings, CounterRateLimiter& limiter, std::uint64_t& random)
      : settings_(settings), limiter_(limiter), total_estimator_(random) {}

  // Appends a call that reports the customer's unreported demand, if one is due. Returns whether
  // the customer's first total has been requested and the request should wait for it. The
  // customer's address must not change until the reply.
  bool report_demand(Micros now, CustomerState& customer, std::vector<Action>& actions);

  // Applies a reply. Returns the customer of the reply's call, or null if this object did not make
  // that call. `gateway_started_at`: see CounterTotalEstimator::on_total().
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
  std::unordered_map<std::int64_t, PendingCall> pending_;  // by counter key; never iterated
};

}  // namespace quota_gateway::policy
