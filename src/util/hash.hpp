// Hash functions with the same results in every process. All gateways must agree on the results, so
// the functions must never change.
#pragma once

#include <cstdint>
#include <string_view>

namespace quota_gateway {

// Increments and finalizes the value as SplitMix64 does. This is a bijection in which every output
// bit depends on every input bit.
std::uint64_t mix(std::uint64_t value);

// FNV-1a hash of the bytes, passed through `mix` so that similar texts get hashes that are far
// apart.
std::uint64_t hash_text(std::string_view text);

}  // namespace quota_gateway
