#include "clocks.hpp"

#include <chrono>

namespace quota_gateway::scale {

Micros steady_now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

Micros thread_cpu_time() {
  return clock_time(CLOCK_THREAD_CPUTIME_ID);
}

Micros clock_time(clockid_t clock) {
  constexpr Micros kMicrosPerSecond = 1'000'000;
  constexpr Micros kNanosPerMicro = 1'000;
  timespec time{};
  clock_gettime(clock, &time);
  return Micros(time.tv_sec) * kMicrosPerSecond + time.tv_nsec / kNanosPerMicro;
}

}  // namespace quota_gateway::scale
