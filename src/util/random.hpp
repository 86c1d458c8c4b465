// Deterministic pseudo-random numbers: a seed gives the same sequence on every machine.
#pragma once

#include <cstdint>

namespace quota_gateway {

// Returns a uniformly distributed number in [0, 1) and advances `state`, the state of the
// generator. Any initial value of `state` is a valid seed.
double uniform(std::uint64_t& state);

}  // namespace quota_gateway
