// What another process of this machine has used, by the kernel's accounts. Keeps no state; called
// by GatewayProcess.
#pragma once

#include <sys/types.h>

#include <optional>

namespace quota_gateway::scale {

// Processor time of all its threads so far, in ms; none if there is no such process.
std::optional<double> process_cpu_ms(pid_t pid);

// Resident memory in MB of 1e6 bytes: now, and at most since the process began or since its peak
// was reset. 0 if there is no such process.
double resident_mb(pid_t pid);
double peak_resident_mb(pid_t pid);
void reset_peak_resident(pid_t pid);

}  // namespace quota_gateway::scale
