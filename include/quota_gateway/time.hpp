// The unit of time of the decision module's interface.
#pragma once

#include <cstdint>

namespace quota_gateway {

// Microseconds. Instants count from one clock that all gateways share; durations are plain
// differences.
using Micros = std::int64_t;

}  // namespace quota_gateway
