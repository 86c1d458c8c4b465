// Allocates customers' quotas: each gateway has a slice of a customer's quota, by its share of the
// demand that is measured at all gateways, and spends it locally (see local_budget.hpp). The
// gateway owns one allocator. Customers live here: they are made by the first request and forgotten
// when idle; what is measured and spent is in their CustomerState.
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

class QuotaAllocator {
 public:
  // `settings` must outlive this; after they changed, on_settings_changed() is to be called.
  QuotaAllocator(const Settings& settings, std::uint64_t seed);
  QuotaAllocator(const QuotaAllocator&) = delete;
  QuotaAllocator& operator=(const QuotaAllocator&) = delete;

  // The state of a request's customer, under the plan that the request names. The plan must stay
  // where it is; it may change.
  CustomerState& customer(Micros now, const RequestArrived& request, const PlanSettings& plan);

  // Appends a call to the counter for the customer's demand, if one is due. Returns whether the
  // request should wait for the customer's first total.
  bool report_demand(Micros now, CustomerState& customer, std::vector<Action>& actions);

  // A reply of the counter. Returns the customer whose total it was, or null if it was none.
  CustomerState* on_counter_reply(Micros now, const CounterReply& reply);

  // Whether the slice covers a sparse customer's request that has no reservation from the pool.
  // Past the quota it covers none: together with what others reserve, twice the quota was admitted
  // otherwise.
  bool covers_without_reservation(const CustomerState& customer, double units) const;

  // Whether a sparse customer's request may reserve units from the shared pool. Past the quota only
  // so many may that their units add up to a little more than the quota.
  bool should_reserve(CustomerState& customer);

  // What a rejected client should wait, in us: until the slice will cover `units`, and at least
  // `least`, but no longer than a retry may take to meet the latency objective; one that returns
  // later earns nothing.
  Micros retry_after(const CustomerState& customer, double units, Micros latency_objective,
                     Micros least) const;

  // Once a period: appends calls for demand that no request has reported, and forgets customers
  // that are idle.
  void on_period(Micros now, std::vector<Action>& actions);

  // Fills the customers' shares of the ceiling up to now. To be called before the settings or the
  // number of processes change.
  void refill_ceilings(Micros now, const RateCeiling& ceiling);

  // This gateway is so many processes now; each is one of a customer's gateways, whose number grows
  // by that factor.
  void set_process_count(Micros now, int process_count);

  // To be called after the settings changed.
  void on_settings_changed(Micros now);

  // The limit of all calls to the counter.
  CounterRateLimiter& counter_limiter() { return counter_limiter_; }

  // The present stats; counts start anew.
  QuotaStats take_stats(Micros now);

 private:
  void set_plan(Micros now, const std::string& name, const PlanSettings& plan,
                CustomerState& customer);

  const Settings& settings_;
  std::uint64_t random_;
  CounterRateLimiter counter_limiter_;
  CounterSync counter_sync_;
  std::optional<Micros> started_at_;  // when this gateway, or its present processes, started
  int process_count_ = 1;
  // The order decides that of calls to the counter; it must be the same in each run.
  std::map<std::string, CustomerState> customers_;
};

}  // namespace quota_gateway::policy
