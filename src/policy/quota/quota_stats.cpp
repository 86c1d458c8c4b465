#include "policy/quota/quota_stats.hpp"

#include "util/string_concat.hpp"

namespace quota_gateway::policy {

std::string format_quota_stats(const QuotaStats& stats) {
  const CounterCallCounts& calls = stats.counter_calls;
  return concat("customers ", stats.customers, " (", stats.customers_with_recent_total,
                " with a recent total), counter calls: ok ", calls.ok, ", not added ",
                calls.not_added, ", slow ", calls.slow, ", lost ", calls.lost, "; limit ",
                int(stats.counter_calls_per_second), " a second");
}

}  // namespace quota_gateway::policy
