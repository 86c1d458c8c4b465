// The processor time of one short operation, by the benchmark library. Not reentrant: the library
// keeps its benchmarks in one place for the whole process.
#pragma once

#include <functional>
#include <string>

#include "scenario.hpp"

namespace quota_gateway::scale {

// us of processor time of one call of `work`, the median of repetitions that are each long enough
// for the clock.
double median_cpu_us(const Options& options, const std::string& name,
                     const std::function<void()>& work);

}  // namespace quota_gateway::scale
