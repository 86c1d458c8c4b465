// Memory that a process holds back for the time in which the system gives it none. Does no
// allocation of its own, so that operator new can use it.
#pragma once

#include <boost/interprocess/mem_algo/rbtree_best_fit.hpp>
#include <boost/interprocess/sync/mutex_family.hpp>
#include <cstddef>
#include <span>

namespace quota_gateway::net {

// Blocks of a region of memory. For one thread.
class MemoryReserve {
 public:
  // `region` must be aligned to a page and outlive the reserve.
  explicit MemoryReserve(std::span<std::byte> region);
  MemoryReserve(const MemoryReserve&) = delete;
  MemoryReserve& operator=(const MemoryReserve&) = delete;

  // Returns a block, or null if none of that size is left. `alignment`: a power of 2.
  void* allocate(std::size_t size, std::size_t alignment) noexcept;
  // Takes back a block that allocate() returned.
  void free(void* block) noexcept;
  // Whether allocate() returned the block.
  bool contains(const void* block) const noexcept;
  // Number of bytes that may be used in a block.
  std::size_t block_bytes(void* block) const noexcept;

  std::size_t size() const { return region_.size(); }
  // Bytes of the blocks that were not taken back, with what is needed to manage them.
  std::size_t used_bytes() const { return free_at_start_ - blocks_.get_free_memory(); }

 private:
  using Blocks = boost::interprocess::rbtree_best_fit<boost::interprocess::null_mutex_family>;

  std::span<std::byte> region_;
  Blocks& blocks_;  // at the beginning of the region
  std::size_t free_at_start_;
};

}  // namespace quota_gateway::net
