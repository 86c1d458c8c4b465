#include "net/memory/allocation_counter.hpp"

#ifndef __SANITIZE_ADDRESS__
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>
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

#else

namespace {

constexpr std::size_t kBlockHeaderBytes = sizeof(std::size_t);

std::atomic<std::size_t> total_allocated_bytes{0};
std::atomic<std::size_t> total_freed_bytes{0};

std::size_t block_bytes(void* block) {
  return ::malloc_usable_size(block) + kBlockHeaderBytes;
}

void* counted(void* block) {
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  total_allocated_bytes.fetch_add(block_bytes(block), std::memory_order_relaxed);
  return block;
}

void free_counted(void* block) {
  if (block != nullptr) {
    total_freed_bytes.fetch_add(block_bytes(block), std::memory_order_relaxed);
    std::free(block);
  }
}

std::size_t rounded_up(std::size_t size, std::size_t alignment) {
  return (size + alignment - 1) / alignment * alignment;
}

}  // namespace

std::size_t quota_gateway::net::counted_allocated_bytes() {
  return counted_total_allocated_bytes() - total_freed_bytes.load(std::memory_order_relaxed);
}

std::size_t quota_gateway::net::counted_total_allocated_bytes() {
  return total_allocated_bytes.load(std::memory_order_relaxed);
}

// The other forms of the operators call these.

void* operator new(std::size_t size) {
  return counted(std::malloc(size > 0 ? size : 1));
}

void* operator new(std::size_t size, std::align_val_t alignment) {
  const auto bytes = std::size_t(alignment);
  return counted(std::aligned_alloc(bytes, rounded_up(size > 0 ? size : 1, bytes)));
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
