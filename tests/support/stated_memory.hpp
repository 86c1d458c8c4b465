// The memory of a process, as a test states it.
#pragma once

#include <cstddef>
#include <optional>

#include "net/memory/process_memory.hpp"

namespace quota_gateway::net::testing {

// Allocated blocks take free ones first, as an allocator does.
class StatedMemory final : public ProcessMemory {
 public:
  void allocate(std::size_t bytes) {
    allocated_ += bytes;
    total_allocated_ += bytes;
    free_ -= bytes < free_ ? bytes : free_;
  }
  void free(std::size_t bytes) {
    allocated_ -= bytes;
    free_ += bytes;
  }

  std::size_t allocated_bytes() const override { return allocated_; }
  std::size_t total_allocated_bytes() const override { return total_allocated_; }
  std::optional<std::size_t> resident_bytes() override {
    if (!is_resident_known) {
      return std::nullopt;
    }
    return allocated_ + free_ + file_bytes;
  }
  Reserve reserve() const override { return stated_reserve; }
  void release_free_blocks() override {
    ++releases;
    if (returns_free_blocks) {
      free_ = 0;
    }
  }

  std::size_t file_bytes = 0;
  Reserve stated_reserve;
  bool returns_free_blocks = true;
  bool is_resident_known = true;
  int releases = 0;  // number of calls of release_free_blocks()

 private:
  std::size_t allocated_ = 0;
  std::size_t total_allocated_ = 0;
  std::size_t free_ = 0;
};

}  // namespace quota_gateway::net::testing
