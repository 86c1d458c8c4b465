// What slopes are measured with: this thread's processor time, the heap, and statistics of samples.
// Called by the slopes of every part; keeps no state.
#pragma once

#include <cstdint>
#include <vector>

namespace quota_gateway::scale {

// Processor time that the calling thread has spent, in us with fractions. Figures of the decision
// module use it because the wall clock would count what else the machine does, and because the
// whole microseconds of thread_cpu_time() would be as long as a request in the module takes.
double thread_cpu_us();

// Processor time in us that the calling thread spends in `work`.
template <typename Work>
double thread_cpu_us_of(const Work& work) {
  const double before = thread_cpu_us();
  work();
  return thread_cpu_us() - before;
}

// What this process's heap has in use, in MB of 1e6 bytes.
double heap_in_use_mb();

// The smallest sample that at least `fraction` of the samples do not exceed; 0 of no samples.
double percentile(std::vector<double> samples, double fraction);
double median(const std::vector<double>& samples);
double p99(const std::vector<double>& samples);
// The largest sample; 0 of no samples.
double largest(const std::vector<double>& samples);

}  // namespace quota_gateway::scale
