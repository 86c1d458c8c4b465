// Names and windows of counters that all gateways derive alike, without talking to each other.
#pragma once

#include <cstdint>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// Sets names of one use apart from those of another; the values are part of the names.
enum class CounterSeries : std::uint64_t {
  kDemandTotal = 0,
  kCeilingPool = 0xce1115,
  kQuotaPool = 0x90074,
};

// A customer's offset in windows of `length` us. All gateways change windows at once, at times
// spread over the customers.
Micros window_phase(std::uint64_t customer_key, Micros length);

// The counter's name for a customer in a numbered window.
std::int64_t counter_key(std::uint64_t customer_key, CounterSeries series, std::int64_t window);

}  // namespace quota_gateway::policy
