// Memory and descriptors of this process. Stateless: any thread may call.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway::scale {

// Raises the process's limit of descriptors to its hard limit and returns that. Throws
// std::runtime_error if the system refuses.
std::size_t raise_descriptor_limit();

// Bytes that the allocator has handed out.
std::uint64_t allocated_bytes();

// Bytes of the process that are in physical memory.
std::uint64_t resident_bytes();

}  // namespace quota_gateway::scale
