// The clocks that the scale tests measure with, in microseconds. Stateless: any thread may call.
#pragma once

#include <ctime>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// A clock that only goes forward, the same for all threads.
Micros steady_now();

// Processor time that the calling thread has spent.
Micros thread_cpu_time();

// What the given POSIX clock shows.
Micros clock_time(clockid_t clock);

}  // namespace quota_gateway::scale
