#include "util/hash.hpp"

namespace quota_gateway {
namespace {

constexpr std::uint64_t kSplitMixIncrement = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kSplitMixFactor1 = 0xbf58476d1ce4e5b9ULL;
constexpr std::uint64_t kSplitMixFactor2 = 0x94d049bb133111ebULL;
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

}  // namespace

std::uint64_t mix(std::uint64_t value) {
  value += kSplitMixIncrement;
  value = (value ^ (value >> 30)) * kSplitMixFactor1;
  value = (value ^ (value >> 27)) * kSplitMixFactor2;
  return value ^ (value >> 31);
}

std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return mix(hash);
}

}  // namespace quota_gateway
