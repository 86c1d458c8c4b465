// The memory of this process. The blocks are counted by the replaced operators new and delete of
// allocation_counter.cpp, which only the gateway program contains.
#pragma once

#include "net/memory/process_memory.hpp"

namespace quota_gateway::net {

// Must be the only object of its class, as it sets options of the allocator.
class SystemMemory final : public ProcessMemory {
 public:
  // Opens the file of the system from which resident_bytes() reads. `limit_bytes`: what the process
  // may hold; a small part of it is held back as the reserve.
  explicit SystemMemory(std::size_t limit_bytes);
  SystemMemory(const SystemMemory&) = delete;
  SystemMemory& operator=(const SystemMemory&) = delete;
  ~SystemMemory() override;

  std::size_t allocated_bytes() const override;
  std::size_t total_allocated_bytes() const override;
  std::optional<std::size_t> resident_bytes() override;
  Reserve reserve() const override;
  std::uint64_t refused_allocations() const override;
  std::uint64_t failed_allocations() const override;
  void release_free_blocks() override;

 private:
  int statm_fd_ = -1;
};

}  // namespace quota_gateway::net
