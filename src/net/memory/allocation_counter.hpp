// Counts the bytes of all blocks that operator new has allocated and operator delete has not freed.
// Replaces these operators in each program that contains it.
#pragma once

#include <cstddef>

namespace quota_gateway::net {

// Bytes of the allocated blocks, with what the allocator adds to each.
std::size_t counted_allocated_bytes();

// The same, of all blocks that were ever allocated. With the address sanitizer, which does not
// count them, only of the blocks that are allocated now.
std::size_t counted_total_allocated_bytes();

}  // namespace quota_gateway::net
