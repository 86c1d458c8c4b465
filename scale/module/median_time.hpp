// Measures the processor time of a short operation with Google Benchmark. Neither reentrant nor
// thread-safe, because the library keeps one list of benchmarks for the process.
#pragma once

#include <functional>

#include "scenario.hpp"

namespace quota_gateway::scale {

// Returns the processor time of one call of `work` in us, as the median of several repetitions.
// Each repetition makes many calls, because a single one may be too short for the clock.
double median_cpu_us(const Options& options, const std::function<void()>& work);

}  // namespace quota_gateway::scale
