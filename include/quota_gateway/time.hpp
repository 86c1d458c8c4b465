// The unit of time of the decision module's interface.
#pragma once

#include <cstdint>

namespace quota_gateway {

// Microseconds. Instants are times on one clock that all gateways share. Durations are differences
// between instants.
using Micros = std::int64_t;

}  // namespace quota_gateway
