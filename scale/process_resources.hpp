// Memory and file descriptors of this process. The functions keep no state and may be called from
// any thread.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway::scale {

// Raises the process's limit on open file descriptors to the hard limit and returns it. Throws
// std::runtime_error if the system refuses.
std::size_t raise_descriptor_limit();

// Returns the number of heap bytes that are allocated.
std::uint64_t allocated_bytes();

// Returns the bytes of the process that are in physical memory.
std::uint64_t resident_bytes();

}  // namespace quota_gateway::scale
