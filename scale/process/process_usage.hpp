// Processor time and memory of another process of this machine, as the kernel accounts for them.
// Stateless; used by GatewayProcess.
#pragma once

#include <sys/types.h>

#include <optional>

namespace quota_gateway::scale {

// Processor time of all threads of the process so far, in ms; nullopt if there is no such process.
std::optional<double> process_cpu_ms(pid_t pid);

// Resident memory in MB of 1e6 bytes: the current value, and the peak since the process started or
// since reset_peak_resident(). 0 if there is no such process.
double resident_mb(pid_t pid);
double peak_resident_mb(pid_t pid);
void reset_peak_resident(pid_t pid);

}  // namespace quota_gateway::scale
