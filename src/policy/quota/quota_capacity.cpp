#include "policy/quota/quota_capacity.hpp"

#include <algorithm>
#include <cmath>

#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// The mean number of concurrent attempts stays this many standard deviations below the cap ...
constexpr double kConcurrencyDeviations = 0.85;
// ... but is at least this fraction of the cap, since small caps would remain unused otherwise.
constexpr double kMinConcurrencyFraction = 0.3;
// Burst under a concurrency cap, in seconds of the rate.
constexpr double kConcurrencyBurstSeconds = 1;

// A customer is sparse if an even share of its quota in one update period is less than this
// fraction of the largest request.
constexpr double kSparseRequestFraction = 0.1;

// Capacity of the token bucket before the first counter total, in even shares of the burst.
constexpr double kUnknownTotalShares = 2.0;

}  // namespace

double quota_rate(const PlanSettings& plan) {
  const double cap = plan.max_concurrent_attempts;
  return plan.quota_rate > 0 ? plan.quota_rate
                             : std::max(kMinConcurrencyFraction * cap,
                                        cap - kConcurrencyDeviations * std::sqrt(cap));
}

double quota_burst(const CustomerState& customer) {
  return customer.plan->quota_rate > 0 ? customer.plan->quota_burst
                                       : customer.quota_rate * kConcurrencyBurstSeconds;
}

double token_capacity(const CustomerState& customer) {
  const double fraction = customer.counter_total.trusted_at
                              ? 1
                              : std::min(1.0, kUnknownTotalShares / customer.gateway_subset_size);
  return quota_burst(customer) * fraction;
}

bool is_sparse(const Settings& settings, const CustomerState& customer) {
  return settings.has_counter && customer.plan->quota_rate > 0 &&
         customer.plan->quota_rate * double(kUpdatePeriod) / kMicrosPerSecond <
             kSparseRequestFraction * settings.max_request_units * customer.gateway_subset_size;
}

}  // namespace quota_gateway::policy
