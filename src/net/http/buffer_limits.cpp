#include "net/http/buffer_limits.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// The part of the process's memory that messages may fill: one in kMemoryDivisor.
constexpr std::size_t kMemoryDivisor = 2;
// Memory of a client without its bodies: its session, the head of its message, unparsed input.
constexpr std::size_t kBytesPerClient = 16 << 10;
// A body is kept for a further attempt while its encoded form is being written.
constexpr std::size_t kCopiesOfABody = 2;
constexpr std::size_t kMinBodyBytes = 8 << 10;
// The part of the memory that input read ahead may fill: one in kReadAheadDivisor.
constexpr std::size_t kReadAheadDivisor = 16;
constexpr std::size_t kMaxReadAheadBytes = 4 << 20;

}  // namespace

BufferLimits buffer_limits(std::size_t memory_bytes, std::size_t max_clients) {
  const std::size_t per_client =
      memory_bytes / kMemoryDivisor / std::max<std::size_t>(1, max_clients);
  const std::size_t for_bodies = per_client - std::min(per_client, kBytesPerClient);
  BufferLimits limits;
  limits.max_body_bytes =
      std::clamp(for_bodies / kCopiesOfABody, kMinBodyBytes, kMaxBufferedBodyBytes);
  limits.max_total_read_ahead_bytes =
      std::min(memory_bytes / kReadAheadDivisor, kMaxReadAheadBytes);
  return limits;
}

}  // namespace quota_gateway::net
