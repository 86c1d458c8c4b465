// Hashes that are the same in every process: all gateways have to agree on them, and so they must
// never change.
#pragma once

#include <cstdint>
#include <string_view>

namespace quota_gateway {

// The SplitMix64 finalizer: a bijection whose every output bit depends on every input bit.
std::uint64_t mix(std::uint64_t value);

// FNV-1a over the bytes, finished by `mix` so that similar texts land far apart.
std::uint64_t hash_text(std::string_view text);

}  // namespace quota_gateway
