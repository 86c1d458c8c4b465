#include "net/upstream/response_fingerprint.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxHashedBytes = 4 << 10;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

}  // namespace

void ResponseFingerprint::add(std::string_view bytes) {
  const std::size_t hashed_before = std::min(size_, kMaxHashedBytes);
  for (const char byte : bytes.substr(0, kMaxHashedBytes - hashed_before)) {
    hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  size_ += bytes.size();
}

}  // namespace quota_gateway::net
