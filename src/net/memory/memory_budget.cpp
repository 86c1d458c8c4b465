#include "net/memory/memory_budget.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// Shares of the limit. What is above kCriticalShare is left to requests that were accepted before,
// to endpoint lists and to settings.
constexpr double kHighShare = 0.625;
constexpr double kCriticalShare = 0.75;
// Parts of the reserve from which on requests are rejected.
constexpr std::size_t kHighReserveDivisor = 32;
constexpr std::size_t kCriticalReserveDivisor = 8;
// Free blocks are many beyond this share of the limit.
constexpr std::size_t kFreeBlocksDivisor = 32;
// The memory is measured again once this share of the limit was allocated, freed or not.
constexpr std::size_t kMeasurementDivisor = 64;
// Under pressure free blocks are returned once this share of the limit was allocated.
constexpr std::size_t kReleaseDivisor = 8;

}  // namespace

MemoryBudget::MemoryBudget(ProcessMemory& memory, std::size_t limit_bytes)
    : memory_(&memory), total_limit_bytes_(limit_bytes), limit_bytes_(limit_bytes) {
  measure();
  lasting_overhead_bytes_ = overhead_bytes_;
}

void MemoryBudget::measure() {
  const std::size_t allocated_bytes = memory_->allocated_bytes();
  const std::size_t resident_bytes = memory_->resident_bytes().value_or(allocated_bytes);
  measured_at_total_ = memory_->total_allocated_bytes();
  overhead_bytes_ = resident_bytes - std::min(resident_bytes, allocated_bytes);
  lasting_overhead_bytes_ = std::min(lasting_overhead_bytes_, overhead_bytes_);
}

bool MemoryBudget::has_many_free_blocks() const {
  return overhead_bytes_ > lasting_overhead_bytes_ + limit_bytes_ / kFreeBlocksDivisor;
}

void MemoryBudget::release_free_blocks() {
  if (memory_ == nullptr) {
    return;
  }
  measure();
  if (has_many_free_blocks()) {
    memory_->release_free_blocks();
    measure();
    lasting_overhead_bytes_ = overhead_bytes_;
    released_at_total_ = measured_at_total_;
  }
}

std::size_t MemoryBudget::used_bytes() const {
  return memory_ == nullptr ? 0 : memory_->allocated_bytes() + overhead_bytes_;
}

ProcessMemory::Reserve MemoryBudget::reserve() const {
  return memory_ == nullptr ? ProcessMemory::Reserve() : memory_->reserve();
}

std::uint64_t MemoryBudget::refused_allocations() const {
  return memory_ == nullptr ? 0 : memory_->refused_allocations();
}

std::uint64_t MemoryBudget::failed_allocations() const {
  return memory_ == nullptr ? 0 : memory_->failed_allocations();
}

MemoryPressure MemoryBudget::pressure_of(std::size_t bytes) const {
  const double share = double(bytes) / double(limit_bytes_);
  if (share > kCriticalShare) {
    return MemoryPressure::kCritical;
  }
  return share > kHighShare ? MemoryPressure::kHigh : MemoryPressure::kNone;
}

// While the system gives no memory, what was accepted before is to be finished with the reserve.
MemoryPressure MemoryBudget::pressure_of_reserve() const {
  const ProcessMemory::Reserve reserve = memory_->reserve();
  if (reserve.used_bytes > reserve.bytes / kCriticalReserveDivisor) {
    return MemoryPressure::kCritical;
  }
  const bool is_high = reserve.used_bytes > reserve.bytes / kHighReserveDivisor;
  return is_high ? MemoryPressure::kHigh : MemoryPressure::kNone;
}

MemoryPressure MemoryBudget::pressure() {
  if (memory_ == nullptr) {
    return MemoryPressure::kNone;
  }
  return std::max(pressure_of_reserve(), pressure_of_limit());
}

MemoryPressure MemoryBudget::pressure_of_limit() {
  const std::size_t total = memory_->total_allocated_bytes();
  if (total - measured_at_total_ > limit_bytes_ / kMeasurementDivisor) {
    measure();
  }
  const MemoryPressure now = pressure_of(used_bytes());
  const bool may_release = total - released_at_total_ > limit_bytes_ / kReleaseDivisor;
  if (now == MemoryPressure::kNone || !has_many_free_blocks() || !may_release) {
    return now;
  }
  release_free_blocks();
  return pressure_of(used_bytes());
}

bool MemoryBudget::admits(RequestLength length) {
  const MemoryPressure now = pressure();
  const bool rejected = now == MemoryPressure::kCritical ||
                        (now == MemoryPressure::kHigh && length == RequestLength::kLong);
  rejected_requests_ += rejected ? 1 : 0;
  return !rejected;
}

}  // namespace quota_gateway::net
