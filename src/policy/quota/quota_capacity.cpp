#include "policy/quota/quota_capacity.hpp"

#include <algorithm>
#include <cmath>

#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// The mean number of concurrent attempts stays so many standard deviations under the cap ...
constexpr double kConcurrencyDeviations = 0.85;
// ... but is at the least this fraction of it: small caps would be left unused otherwise.
constexpr double kConcurrencyLeastFraction = 0.3;
// Seconds of the rate under a concurrency cap that may be used at once.
constexpr double kConcurrencyBurstSeconds = 1;

// An even share of the quota in a period, as a fraction of the largest request: less is sparse.
constexpr double kSparseRequestFraction = 0.1;

// Times the even share that a customer without a counter total may store.
constexpr double kUnknownTotalShares = 2.0;

}  // namespace

double quota_rate(const PlanSettings& plan) {
  const double cap = plan.max_concurrent_attempts;
  return plan.quota_rate > 0 ? plan.quota_rate
                             : std::max(kConcurrencyLeastFraction * cap,
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
