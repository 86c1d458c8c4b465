// Measurement functions of the slopes: the CPU time of this thread, the heap, and statistics of
// samples. They keep no state.
#pragma once

#include <cstdint>
#include <vector>

namespace quota_gateway::scale {

// Returns the CPU time of the calling thread in microseconds, with fractions. Measurements of the
// decision module use it because the wall clock would include other work of the machine, and
// because the resolution of thread_cpu_time(), one microsecond, is as long as a request takes in
// the module.
double thread_cpu_us();

// Returns the CPU time in microseconds that the calling thread uses in `work`.
template <typename Work>
double thread_cpu_us_of(const Work& work) {
  const double before = thread_cpu_us();
  work();
  return thread_cpu_us() - before;
}

// Returns the heap memory that this process uses, in MB of 1e6 bytes.
double heap_in_use_mb();

// Returns the smallest sample that at least `fraction` of the samples do not exceed; 0 if there are
// no samples.
double percentile(std::vector<double> samples, double fraction);
double median(const std::vector<double>& samples);
double p99(const std::vector<double>& samples);
// Returns the largest sample; 0 if there are no samples.
double largest(const std::vector<double>& samples);

}  // namespace quota_gateway::scale
