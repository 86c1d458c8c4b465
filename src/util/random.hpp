// Deterministic pseudo-random numbers: the same seed gives the same draws everywhere.
#pragma once

#include <cstdint>

namespace quota_gateway {

// Advances `state`, a generator of any seed, by one step. Returns a number in [0, 1).
double uniform(std::uint64_t& state);

}  // namespace quota_gateway
