// What the process holds in memory, as its allocator and the system count it. An interface, so that
// tests can state the figures.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace quota_gateway::net {

class ProcessMemory {
 public:
  virtual ~ProcessMemory() = default;
  // Bytes of all blocks that are allocated now, whoever holds them. Cheap enough for each request.
  virtual std::size_t allocated_bytes() const = 0;
  // Bytes of all blocks that were ever allocated. The resident memory can't grow faster.
  virtual std::size_t total_allocated_bytes() const = 0;
  // All resident memory of the process: allocated and free blocks, the program, its libraries and
  // other files. None: unknown.
  virtual std::optional<std::size_t> resident_bytes() = 0;
  // The memory that is held back for a shortage of the system's, and the part of it in use.
  struct Reserve {
    std::size_t bytes = 0;
    std::size_t used_bytes = 0;
  };
  virtual Reserve reserve() const { return {}; }
  // Number of allocations that the system has refused so far, and of those that failed for it.
  virtual std::uint64_t refused_allocations() const { return 0; }
  virtual std::uint64_t failed_allocations() const { return 0; }
  // Returns free blocks of the allocator to the system.
  virtual void release_free_blocks() = 0;
};

}  // namespace quota_gateway::net
