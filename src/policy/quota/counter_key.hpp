// Counter keys and time windows. All gateways derive the same ones without communicating.
#pragma once

#include <cstdint>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// The use of a counter key; different uses have different keys. The values are hashed into the
// keys, so all gateways must agree on them.
enum class CounterSeries : std::uint64_t {
  kDemandTotal = 0,
  kCeilingPool = 0xce1115,
  kQuotaPool = 0x90074,
};

// Returns the offset, us, that shifts a customer's windows of `length` us. All gateways start a
// customer's next window at the same time; the start times of different customers are spread over
// the window.
Micros window_phase(std::uint64_t customer_key, Micros length);

// Returns the counter key of a customer in the window with this number.
std::int64_t counter_key(std::uint64_t customer_key, CounterSeries series, std::int64_t window);

}  // namespace quota_gateway::policy
