#include "net/memory/allocation_counter.hpp"

#ifndef __SANITIZE_ADDRESS__
#include <malloc.h>
#include <sys/mman.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>
#include <optional>

#include "net/memory/memory_reserve.hpp"
#endif

#ifdef __SANITIZE_ADDRESS__

// From the interface of the sanitizer's allocator, whose header GCC does not install.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();

// The sanitizer has operators of its own, which find mismatched calls, and counts itself.
std::size_t quota_gateway::net::counted_allocated_bytes() {
  return __sanitizer_get_current_allocated_bytes();
}

std::size_t quota_gateway::net::counted_total_allocated_bytes() {
  return __sanitizer_get_current_allocated_bytes();
}

void quota_gateway::net::hold_memory_reserve(std::size_t /*bytes*/) {}

quota_gateway::net::MemoryReserveStatus quota_gateway::net::memory_reserve_status() {
  return {};
}

#else

namespace {

using quota_gateway::net::MemoryReserve;

constexpr std::size_t kBlockHeaderBytes = sizeof(std::size_t);

std::atomic<std::size_t> total_allocated_bytes{0};
std::atomic<std::size_t> total_freed_bytes{0};

// How often the system is asked at once for memory that it has refused.
constexpr int kMaxRepeats = 3;
// How long operator new may wait for memory once the reserve is used up, and how often. A gateway
// that is held up for 0.15 s still keeps its deadlines.
constexpr int kMaxWaits = 50;
constexpr std::int64_t kWaitNs = 1'000'000;
constexpr std::time_t kMinSecondsBetweenWaits = 2;

std::uint64_t refused_allocations = 0;
std::uint64_t failed_allocations = 0;
std::time_t last_wait_s = 0;

// Never destroyed, since operators may be called until the process ends.
std::optional<MemoryReserve>& reserve() {
  static auto& instance = *[] {
    alignas(std::optional<MemoryReserve>) static std::array<std::byte,
                                                            sizeof(std::optional<MemoryReserve>)>
        storage;
    return new (storage.data()) std::optional<MemoryReserve>();
  }();
  return instance;
}

bool is_in_reserve(const void* block) {
  return reserve() && reserve()->contains(block);
}

std::size_t block_bytes(void* block) {
  const bool is_reserved = is_in_reserve(block);
  return (is_reserved ? reserve()->block_bytes(block) : ::malloc_usable_size(block)) +
         kBlockHeaderBytes;
}

void* counted(void* block) {
  total_allocated_bytes.fetch_add(block_bytes(block), std::memory_order_relaxed);
  return block;
}

void free_counted(void* block) {
  if (block == nullptr) {
    return;
  }
  total_freed_bytes.fetch_add(block_bytes(block), std::memory_order_relaxed);
  if (is_in_reserve(block)) {
    reserve()->free(block);
  } else {
    std::free(block);
  }
}

std::size_t rounded_up(std::size_t size, std::size_t alignment) {
  return (size + alignment - 1) / alignment * alignment;
}

// Null if the system refuses the memory.
void* system_block(std::size_t size, std::size_t alignment) {
  return alignment <= alignof(std::max_align_t)
             ? std::malloc(size)
             : std::aligned_alloc(alignment, rounded_up(size, alignment));
}

bool may_wait() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  if (!reserve() || now.tv_sec < last_wait_s + kMinSecondsBetweenWaits) {
    return false;
  }
  last_wait_s = now.tv_sec;
  return true;
}

void* block_in_shortage(std::size_t size, std::size_t alignment) {
  ++refused_allocations;
  for (int call = 0; call < kMaxRepeats; ++call) {
    if (void* const block = system_block(size, alignment)) {
      return block;
    }
  }
  if (void* const block = reserve() ? reserve()->allocate(size, alignment) : nullptr) {
    return block;
  }
  const int max_waits = may_wait() ? kMaxWaits : 0;
  for (int wait = 0; wait < max_waits; ++wait) {
    const timespec pause{0, kWaitNs};
    ::nanosleep(&pause, nullptr);
    if (void* const block = system_block(size, alignment)) {
      return block;
    }
  }
  ++failed_allocations;
  throw std::bad_alloc();
}

void* allocate(std::size_t size, std::size_t alignment) {
  const std::size_t bytes = size > 0 ? size : 1;
  if (void* const block = system_block(bytes, alignment)) {
    return counted(block);
  }
  return counted(block_in_shortage(bytes, alignment));
}

}  // namespace

std::size_t quota_gateway::net::counted_allocated_bytes() {
  return counted_total_allocated_bytes() - total_freed_bytes.load(std::memory_order_relaxed);
}

std::size_t quota_gateway::net::counted_total_allocated_bytes() {
  return total_allocated_bytes.load(std::memory_order_relaxed);
}

void quota_gateway::net::hold_memory_reserve(std::size_t bytes) {
  if (reserve()) {
    return;
  }
  void* const region =
      ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (region != MAP_FAILED) {
    reserve().emplace(std::span(static_cast<std::byte*>(region), bytes));
  }
}

quota_gateway::net::MemoryReserveStatus quota_gateway::net::memory_reserve_status() {
  MemoryReserveStatus status{.refused_allocations = refused_allocations,
                             .failed_allocations = failed_allocations};
  if (reserve()) {
    status.size = reserve()->size();
    status.used = reserve()->used_bytes();
  }
  return status;
}

// The other forms of the operators call these.

void* operator new(std::size_t size) {
  return allocate(size, alignof(std::max_align_t));
}

void* operator new(std::size_t size, std::align_val_t alignment) {
  return allocate(size, std::size_t(alignment));
}

void operator delete(void* block) noexcept {
  free_counted(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  free_counted(block);
}

void operator delete(void* block, std::align_val_t /*alignment*/) noexcept {
  free_counted(block);
}

void operator delete(void* block, std::size_t /*size*/, std::align_val_t /*alignment*/) noexcept {
  free_counted(block);
}

#endif
