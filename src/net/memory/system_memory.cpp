#include "net/memory/system_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "net/memory/allocation_counter.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxStatmBytes = 128;

// The reserve is this part of the memory that the process may hold.
constexpr std::size_t kReserveDivisor = 16;

// Blocks above this size are mapped alone, so that their memory is returned as they are freed.
// glibc raises its own threshold to the largest block that was freed.
constexpr int kMinMappedBlockBytes = 128 << 10;

}  // namespace

SystemMemory::SystemMemory(std::size_t limit_bytes)
    : statm_fd_(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC)) {
  hold_memory_reserve(limit_bytes / kReserveDivisor);
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  ::mallopt(M_ARENA_MAX, 1);
}

SystemMemory::~SystemMemory() {
  if (statm_fd_ >= 0) {
    ::close(statm_fd_);
  }
}

std::size_t SystemMemory::allocated_bytes() const {
  return counted_allocated_bytes();
}

std::size_t SystemMemory::total_allocated_bytes() const {
  return counted_total_allocated_bytes();
}

// With the address sanitizer, most of the resident memory is its own.
std::optional<std::size_t> SystemMemory::resident_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return std::nullopt;
#else
  std::array<char, kMaxStatmBytes> text{};
  const auto size = ::pread(statm_fd_, text.data(), text.size(), 0);
  if (size <= 0) {
    return std::nullopt;
  }
  // The second number is that of the resident pages.
  std::string_view rest(text.data(), std::size_t(size));
  rest.remove_prefix(std::min(rest.size(), rest.find(' ') + 1));
  std::size_t pages = 0;
  const auto [end, ec] = std::from_chars(rest.data(), rest.data() + rest.size(), pages);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  return pages * std::size_t(::sysconf(_SC_PAGESIZE));
#endif
}

ProcessMemory::Reserve SystemMemory::reserve() const {
  const MemoryReserveStatus status = memory_reserve_status();
  return {.bytes = status.size, .used_bytes = status.used};
}

std::uint64_t SystemMemory::refused_allocations() const {
  return memory_reserve_status().refused_allocations;
}

std::uint64_t SystemMemory::failed_allocations() const {
  return memory_reserve_status().failed_allocations;
}

void SystemMemory::release_free_blocks() {
  ::malloc_trim(0);
}

}  // namespace quota_gateway::net
