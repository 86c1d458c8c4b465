// Measures the memory of the process at intervals and logs when it runs short. Owned by
// GatewayServer.
#pragma once

#include "net/event_loop/log_rate_limit.hpp"
#include "net/event_loop/timers.hpp"
#include "net/memory/memory_budget.hpp"

namespace quota_gateway::net {

class MemoryMonitor {
 public:
  // All arguments must outlive the monitor. It begins at once.
  MemoryMonitor(Timers& timers, const Clock& clock, MemoryBudget& budget);
  MemoryMonitor(const MemoryMonitor&) = delete;
  MemoryMonitor& operator=(const MemoryMonitor&) = delete;

 private:
  void check();
  void log_rejections();

  Timers& timers_;
  const Clock& clock_;
  MemoryBudget& budget_;
  LogRateLimit log_limit_;
  std::uint64_t logged_rejections_ = 0;
};

}  // namespace quota_gateway::net
