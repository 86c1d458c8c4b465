// The memory that the process may still take, and what follows when little is left: read less
// ahead, then reject requests. Counts all memory in one place, whoever holds it. Owned by
// GatewayServer; client sessions ask it before they take more. Does no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/memory/process_memory.hpp"

namespace quota_gateway::net {

enum class MemoryPressure {
  kNone,
  kHigh,     // nothing is read ahead, and long requests are rejected
  kCritical  // all new requests are rejected
};

enum class RequestLength { kShort, kLong };

class MemoryBudget {
 public:
  // Without a limit.
  MemoryBudget() = default;
  // `memory` must outlive the budget. `limit_bytes` must not be 0.
  MemoryBudget(ProcessMemory& memory, std::size_t limit_bytes);

  // The limit is that of `count` processes together from now on, and each may use an equal share.
  void share_among(std::size_t count) { limit_bytes_ = total_limit_bytes_ / count; }

  MemoryPressure pressure();
  // Returns whether a new request may be accepted. Counts those that may not.
  bool admits(RequestLength length);
  std::uint64_t rejected_requests() const { return rejected_requests_; }

  // Measures the resident memory and returns free blocks to the system if they take much of it.
  // Called at intervals.
  void release_free_blocks();

  // See ProcessMemory; all 0 without a limit.
  ProcessMemory::Reserve reserve() const;
  std::uint64_t refused_allocations() const;
  std::uint64_t failed_allocations() const;

  // Bytes that count against the limit, and the limit of this process; 0 without a limit.
  std::size_t used_bytes() const;
  std::size_t limit_bytes() const { return limit_bytes_; }

 private:
  void measure();
  bool has_many_free_blocks() const;
  MemoryPressure pressure_of(std::size_t bytes) const;
  MemoryPressure pressure_of_limit();
  MemoryPressure pressure_of_reserve() const;

  ProcessMemory* memory_ = nullptr;  // null: there is no limit
  std::size_t total_limit_bytes_ = 0;
  std::size_t limit_bytes_ = 0;  // the share of this process
  // The total of allocated bytes at the last measurement, and when free blocks were last returned.
  std::size_t measured_at_total_ = 0;
  std::size_t released_at_total_ = 0;
  // Resident bytes beside the allocated ones at the last measurement: files and free blocks.
  std::size_t overhead_bytes_ = 0;
  // The least of them since free blocks were last returned, which returning them does not lower.
  std::size_t lasting_overhead_bytes_ = 0;
  std::uint64_t rejected_requests_ = 0;
};

}  // namespace quota_gateway::net
