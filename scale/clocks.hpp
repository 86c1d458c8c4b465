// Clocks of the scale tests, in microseconds. The functions keep no state and may be called from
// any thread.
#pragma once

#include <ctime>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Returns the time of a monotonic clock that all threads share.
Micros steady_now();

// Returns the CPU time that the calling thread has used.
Micros thread_cpu_time();

// Returns the current time of the given POSIX clock.
Micros clock_time(clockid_t clock);

}  // namespace quota_gateway::scale
