// The sizes of buffers for messages, derived from the memory of the process. Stateless.
#pragma once

#include <cstddef>

#include "net/http/framing.hpp"

namespace quota_gateway::net {

// Limits on the bytes of messages that the gateway keeps in memory.
struct BufferLimits {
  // A body up to this size is buffered completely. A longer one is streamed in pieces of at most
  // this size.
  std::size_t max_body_bytes = kMaxBufferedBodyBytes;
  // The unparsed input of all clients together, behind requests that await their responses.
  std::size_t max_total_read_ahead_bytes = 4 << 20;
};

// Returns limits with which `max_clients` clients can have messages in progress at once within a
// share of `memory_bytes`.
BufferLimits buffer_limits(std::size_t memory_bytes, std::size_t max_clients);

}  // namespace quota_gateway::net
