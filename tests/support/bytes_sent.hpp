// Measures how much data a TCP socket has sent. Used by tests that limit network traffic.
#pragma once

#include <cstdint>

namespace quota_gateway::net::testing {

// Returns the number of bytes that a TCP socket has sent over the network, whether or not the peer
// has read them. Bytes still in the send buffer do not count. Returns 0 on failure.
std::uint64_t bytes_sent(int socket);

}  // namespace quota_gateway::net::testing
