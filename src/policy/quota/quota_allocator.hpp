// Allocates customers' quotas. Each gateway has a slice of a customer's quota, in proportion to its
// share of the demand measured at all gateways, and spends the slice locally (see
// local_budget.hpp). The gateway owns one allocator. The allocator owns the CustomerState objects:
// it creates one for a customer's first request and evicts it when the customer is idle.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/quota/counter_rate_limiter.hpp"
#include "policy/quota/counter_sync.hpp"
#include "policy/quota/customer_state.hpp"
#include "policy/quota/quota_stats.hpp"
#include "policy/quota/rate_ceiling.hpp"

namespace quota_gateway::policy {

// The customers of one gateway and their shares of the quotas.
class QuotaAllocator {
 public:
  // `settings` must outlive this object. Call on_settings_changed() after they have changed.
  QuotaAllocator(const Settings& settings, std::uint64_t seed);
  QuotaAllocator(const QuotaAllocator&) = delete;
  QuotaAllocator& operator=(const QuotaAllocator&) = delete;

  // Returns the state of a request's customer under the plan that the request names. The plan may
  // change but its address must not.
  CustomerState& customer(Micros now, const RequestArrived& request, const PlanSettings& plan);

  // Appends a call to the counter for the customer's demand, if one is due. Returns whether the
  // request should wait for the customer's first total.
  bool report_demand(Micros now, CustomerState& customer, std::vector<Action>& actions);

  // Applies a reply of the counter. Returns the customer that the call reported demand for, or null
  // if the reply is to another call.
  CustomerState* on_counter_reply(Micros now, const CounterReply& reply);

  // Whether the slice covers a sparse customer's request that has no reservation from the pool.
  // When demand exceeds the quota, the slice covers no request: otherwise, slices and reservations
  // together would admit twice the quota. This rule does not apply before the first total or while
  // the counter is down.
  bool covers_without_reservation(const CustomerState& customer, double units) const;

  // Whether a sparse customer's request may reserve units from the shared pool. When demand exceeds
  // the quota, only a fraction of the requests may, so that their units add up to a little more
  // than the quota.
  bool should_reserve(CustomerState& customer);

  // Returns how long a rejected client should wait before a retry, us: until the slice will cover
  // `units`, and at least `min_retry_after`, but no longer than the maximum of the settings and a
  // fraction of the latency objective, since a retry that misses the objective earns little or
  // nothing.
  Micros retry_after(const CustomerState& customer, double units, Micros latency_objective,
                     Micros min_retry_after) const;

  // Runs once per update period: appends calls for demand that no request has reported, and evicts
  // idle customers.
  void on_period(Micros now, std::vector<Action>& actions);

  // Refills the customers' shares of the ceiling up to `now`. Must be called before the settings or
  // the number of processes change.
  void refill_ceilings(Micros now, const RateCeiling& ceiling);

  // This gateway consists of `process_count` processes from now on. Each process counts as one
  // gateway, so the number of gateways of each customer scales by this factor.
  void set_process_count(Micros now, int process_count);

  // Must be called after the settings have changed.
  void on_settings_changed(Micros now);

  // The limiter of all calls to the counter.
  CounterRateLimiter& counter_limiter() { return counter_limiter_; }

  // Returns the present stats and resets their counts.
  QuotaStats take_stats(Micros now);

 private:
  // Forgets the customers that have been idle longest, to make room for others.
  void evict_longest_idle(Micros now);
  void set_plan(Micros now, const std::string& name, const PlanSettings& plan,
                CustomerState& customer);

  const Settings& settings_;
  std::uint64_t random_;
  CounterRateLimiter counter_limiter_;
  CounterSync counter_sync_;
  std::optional<Micros> started_at_;  // when this gateway, or its present set of processes, started
  // The shares of ceilings of customers that this gateway does not know are empty at that time.
  std::optional<Micros> unknown_ceilings_empty_at_;
  int process_count_ = 1;
  // Ordered, since the iteration order determines the order of calls to the counter, which must be
  // deterministic.
  std::map<std::string, CustomerState> customers_;
};

}  // namespace quota_gateway::policy
