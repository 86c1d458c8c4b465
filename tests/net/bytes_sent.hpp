#pragma once

#include <cstdint>

namespace cottonroad::net::testing {

// Bytes that have left a TCP socket, taken or not; what waits in its buffer has not.
std::uint64_t bytes_sent(int socket);

}  // namespace cottonroad::net::testing
