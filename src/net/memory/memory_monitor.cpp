#include "net/memory/memory_monitor.hpp"

#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Micros kCheckInterval = 250'000;  // us
constexpr std::size_t kBytesPerKibibyte = 1 << 10;

}  // namespace

MemoryMonitor::MemoryMonitor(Timers& timers, const Clock& clock, MemoryBudget& budget)
    : timers_(timers), clock_(clock), budget_(budget) {
  if (budget_.limit_bytes() > 0) {
    check();
    timers_.every(kCheckInterval, [this] { check(); });
  }
}

void MemoryMonitor::check() {
  budget_.release_free_blocks();
  log_rejections();
}

void MemoryMonitor::log_rejections() {
  const std::uint64_t rejections = budget_.rejected_requests();
  if (rejections == logged_rejections_ || !log_limit_.try_log(clock_.now())) {
    return;
  }
  std::cerr << "memory: " << rejections - logged_rejections_
            << " requests rejected for lack of memory; " << budget_.used_bytes() / kBytesPerKibibyte
            << " of " << budget_.limit_bytes() / kBytesPerKibibyte << " KiB in use\n";
  logged_rejections_ = rejections;
}

}  // namespace quota_gateway::net
