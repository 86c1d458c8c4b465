#include "policy/quota/counter_key.hpp"

#include "util/hash.hpp"

namespace quota_gateway::policy {

Micros window_phase(std::uint64_t customer_key, Micros length) {
  return Micros(customer_key % std::uint64_t(length));
}

std::int64_t counter_key(std::uint64_t customer_key, CounterSeries series, std::int64_t window) {
  const std::uint64_t window_hash = mix(std::uint64_t(series) ^ std::uint64_t(window));
  return std::int64_t(mix(customer_key ^ window_hash) >> 2);
}

}  // namespace quota_gateway::policy
