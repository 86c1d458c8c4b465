#include "policy/quota/quota_allocator.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/local_budget.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"
#include "util/hash.hpp"
#include "util/random.hpp"

namespace quota_gateway::policy {
namespace {

// Maximum Retry-After, as a fraction of the latency objective, so that a retry can still meet the
// objective.
constexpr double kRetryAfterFraction = 0.33;

// Time without requests after which a customer is evicted, us: four rotation windows of a counter
// key (see counter_sync.cpp).
constexpr Micros kIdleTimeout = 64 * kUpdatePeriod;

// Maximum age of a total that the stats count as recent, us.
constexpr Micros kRecentTotal = 2 * kUpdatePeriod;

// The part of the customers that is forgotten at once if there are too many: one in this number.
constexpr std::size_t kEvictedFraction = 8;

bool is_unreferenced(const CustomerState& customer) {
  return customer.open_requests == 0 && customer.attempts_in_progress == 0 &&
         customer.counter_total.calls_in_flight == 0 && !customer.ceiling_reservation.in_flight &&
         !customer.quota_reservation.in_flight;
}

bool can_evict(Micros now, const CustomerState& customer) {
  return now - customer.last_request_at > kIdleTimeout && is_unreferenced(customer);
}

}  // namespace

QuotaAllocator::QuotaAllocator(const Settings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      counter_limiter_(settings),
      counter_sync_(settings, counter_limiter_, random_) {}

CustomerState& QuotaAllocator::customer(Micros now, const RequestArrived& request,
                                        const PlanSettings& plan) {
  const bool is_full = settings_.max_customers > 0 && customers_.size() >= settings_.max_customers;
  if (is_full && !customers_.contains(request.customer)) {
    evict_longest_idle(now);
  }
  CustomerState& customer = customers_[request.customer];
  if (!started_at_) {
    started_at_ = now - settings_.clock_tick;
  }
  const int subset_size = request.gateway_subset_size > 0
                              ? std::min(request.gateway_subset_size, settings_.gateway_count)
                              : settings_.gateway_count;
  customer.gateway_subset_size = process_count_ * subset_size;
  if (customer.plan != &plan) {
    set_plan(now, request.customer, plan, customer);
  }
  customer.last_request_at = now;
  return customer;
}

void QuotaAllocator::evict_longest_idle(Micros now) {
  using Entry = decltype(customers_)::iterator;
  std::vector<Entry> candidates;
  for (auto it = customers_.begin(); it != customers_.end(); ++it) {
    if (is_unreferenced(it->second)) {
      candidates.push_back(it);
    }
  }
  const std::size_t count = std::min(candidates.size(), customers_.size() / kEvictedFraction + 1);
  const auto end = candidates.begin() + std::ptrdiff_t(count);
  std::nth_element(candidates.begin(), end, candidates.end(), [](Entry left, Entry right) {
    return left->second.last_request_at < right->second.last_request_at;
  });
  for (auto it = candidates.begin(); it != end; ++it) {
    customers_.erase(*it);
  }
  // The share of a forgotten customer may have been spent. If it began full when the customer comes
  // again, the ceiling could be exceeded.
  unknown_ceilings_empty_at_ = now;
}

void QuotaAllocator::set_plan(Micros now, const std::string& name, const PlanSettings& plan,
                              CustomerState& customer) {
  customer.plan = &plan;
  customer.key = hash_text(name);
  customer.quota_rate = quota_rate(plan);
  customer.estimated_at = now;
  // An earlier process may have spent the share of the ceiling just before this one started.
  // Therefore the share starts empty and refills from this gateway's start on.
  customer.ceiling.units = 0;
  customer.ceiling.refilled_at = std::max(*started_at_, unknown_ceilings_empty_at_.value_or(0));
  customer.budget.tokens = token_capacity(customer);
  customer.budget.own_allowance = customer.budget.tokens;
  assume_even_demand(customer);
}

bool QuotaAllocator::report_demand(Micros now, CustomerState& customer,
                                   std::vector<Action>& actions) {
  return counter_sync_.report_demand(now, customer, actions);
}

CustomerState* QuotaAllocator::on_counter_reply(Micros now, const CounterReply& reply) {
  return counter_sync_.on_reply(now, started_at_.value_or(0), reply);
}

bool QuotaAllocator::covers_without_reservation(const CustomerState& customer, double units) const {
  const Demand& demand = customer.demand;
  return slice_covers(customer, units) &&
         (counter_limiter_.is_counter_down() || !customer.counter_total.trusted_at ||
          demand.own + demand.others <= customer.quota_rate);
}

bool QuotaAllocator::should_reserve(CustomerState& customer) {
  ReservationSampling& sampling = customer.sampling;
  if (!customer.quota_reservation.window) {
    sampling.accumulated = uniform(random_);
  }
  sampling.accumulated += sampling.fraction;
  if (sampling.accumulated < 1) {
    return false;
  }
  sampling.accumulated -= 1;
  return true;
}

Micros QuotaAllocator::retry_after(const CustomerState& customer, double units,
                                   Micros latency_objective, Micros min_retry_after) const {
  const double until_covered = seconds_until_covered(customer, units) * kMicrosPerSecond;
  const double max_retry_after =
      std::min(double(settings_.max_retry_after), kRetryAfterFraction * double(latency_objective));
  const double advice = std::min(max_retry_after, std::max(until_covered, double(min_retry_after)));
  return std::max(settings_.clock_tick, Micros(advice));
}

void QuotaAllocator::on_period(Micros now, std::vector<Action>& actions) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    CustomerState& customer = it->second;
    advance_estimates(now, customer);
    if (can_evict(now, customer)) {
      it = customers_.erase(it);
    } else {
      report_demand(now, customer, actions);
      ++it;
    }
  }
}

void QuotaAllocator::refill_ceilings(Micros now, const RateCeiling& ceiling) {
  for (auto& [name, customer] : customers_) {
    ceiling.refill(now, customer);
  }
}

void QuotaAllocator::set_process_count(Micros now, int process_count) {
  // For a customer that this process has not seen, the ceiling share since the start may have been
  // spent by other processes. Such a share starts to refill only now.
  started_at_ = now;
  for (auto& [name, customer] : customers_) {
    customer.gateway_subset_size = customer.gateway_subset_size / process_count_ * process_count;
  }
  process_count_ = process_count;
}

void QuotaAllocator::on_settings_changed(Micros now) {
  for (auto& [name, customer] : customers_) {
    advance_estimates(now, customer);
    customer.quota_rate = quota_rate(*customer.plan);
    if (!customer.counter_total.trusted_at) {
      assume_even_demand(customer);
    }
    customer.budget.tokens = std::min(customer.budget.tokens, token_capacity(customer));
  }
}

QuotaStats QuotaAllocator::take_stats(Micros now) {
  QuotaStats stats;
  stats.customers = customers_.size();
  for (const auto& [name, customer] : customers_) {
    const std::optional<Micros> trusted_at = customer.counter_total.trusted_at;
    if (trusted_at && now - *trusted_at < kRecentTotal) {
      ++stats.customers_with_recent_total;
    }
  }
  stats.counter_calls = counter_limiter_.take_call_counts();
  stats.counter_calls_per_second = counter_limiter_.calls_per_second();
  return stats;
}

}  // namespace quota_gateway::policy
