// The processor time of one short operation, by the benchmark library. Not reentrant,
// and for one thread at a time: the library keeps its benchmarks in one place for the process.
#pragma once

#include <functional>

#include "scenario.hpp"

namespace quota_gateway::scale {

// us of processor time of one call of `work`, the median of repetitions that are each long enough
// for the clock.
double median_cpu_us(const Options& options, const std::function<void()>& work);

}  // namespace quota_gateway::scale
