// The memory of this process. The blocks are counted by the replaced operators new and delete of
// allocation_counter.cpp, which only the gateway program contains.
#pragma once

#include "net/memory/process_memory.hpp"

namespace quota_gateway::net {

// Must be the only object of its class, as it sets options of the allocator.
class SystemMemory final : public ProcessMemory {
 public:
  // Opens the file of the system from which resident_bytes() reads.
  SystemMemory();
  SystemMemory(const SystemMemory&) = delete;
  SystemMemory& operator=(const SystemMemory&) = delete;
  ~SystemMemory() override;

  std::size_t allocated_bytes() const override;
  std::size_t total_allocated_bytes() const override;
  std::optional<std::size_t> resident_bytes() override;
  void release_free_blocks() override;

 private:
  int statm_fd_ = -1;
};

}  // namespace quota_gateway::net
