#include "net/memory/memory_reserve.hpp"

#include <functional>
#include <new>

namespace quota_gateway::net {

MemoryReserve::MemoryReserve(std::span<std::byte> region)
    : region_(region),
      blocks_(*new (region.data()) Blocks(region.size(), 0)),
      free_at_start_(blocks_.get_free_memory()) {}

void* MemoryReserve::allocate(std::size_t size, std::size_t alignment) noexcept {
  if (alignment <= alignof(std::max_align_t)) {
    return blocks_.allocate(size);
  }
  return blocks_.allocate_aligned(size, alignment);
}

void MemoryReserve::free(void* block) noexcept {
  blocks_.deallocate(block);
}

bool MemoryReserve::contains(const void* block) const noexcept {
  const std::less<> before;
  return !before(block, region_.data()) && before(block, region_.data() + region_.size());
}

std::size_t MemoryReserve::block_bytes(void* block) const noexcept {
  return blocks_.size(block);
}

}  // namespace quota_gateway::net
