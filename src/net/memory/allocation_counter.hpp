// Counts the bytes of all blocks that operator new has allocated and operator delete has not freed,
// and bridges a shortage of the system's memory. Replaces these operators in each program that
// contains it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway::net {

// Bytes of the allocated blocks, with what the allocator adds to each.
std::size_t counted_allocated_bytes();

// The same, of all blocks that were ever allocated. With the address sanitizer, which does not
// count them, only of the blocks that are allocated now.
std::size_t counted_total_allocated_bytes();

// From now on operator new, when the system refuses memory, asks it again some times, then takes
// the block from a reserve of this size, and then waits for a moment, before it throws
// std::bad_alloc. The system gives a page of the reserve when it is first used. No effect with the
// address sanitizer, if there is a reserve, or if the system refuses it.
void hold_memory_reserve(std::size_t bytes);

// The shortages of the system's memory.
struct MemoryReserveStatus {
  std::uint64_t refused_allocations = 0;  // each is counted once, however it ended
  std::uint64_t failed_allocations = 0;   // of these: ended with std::bad_alloc
  std::size_t size = 0;                   // bytes of the reserve
  std::size_t used = 0;                   // of these: in use
};
MemoryReserveStatus memory_reserve_status();

}  // namespace quota_gateway::net
