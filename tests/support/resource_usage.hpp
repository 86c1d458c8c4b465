// Measures CPU time and memory of a test, and writes endpoint lists large enough for such
// measurements.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace quota_gateway::net::testing {

// Factor by which memory limits grow with the address sanitizer, which keeps 256 MB of freed memory
// and adds space around each string.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::size_t kSanitizerMemoryFactor = 10;
#else
inline constexpr std::size_t kSanitizerMemoryFactor = 1;
#endif

// Divisor of the number of clients at full speed with the address sanitizer, which makes a gateway
// about as many times slower.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::size_t kSanitizerLoadDivisor = 8;
#else
inline constexpr std::size_t kSanitizerLoadDivisor = 1;
#endif

// Returns the CPU time that the calling thread has used, in microseconds.
std::int64_t thread_cpu_time_us();

// Returns a memory size of a process in bytes, or 0 if it is unknown. `process`: a process id or
// "self". `key`: a key of /proc/PROCESS/status, VmRSS for resident and VmHWM for peak resident
// memory.
std::size_t process_memory_bytes(const std::string& process, const std::string& key);

// Returns the resident memory of this process in bytes.
std::size_t resident_memory_bytes();

// Returns `count` entries of an endpoint list as a discovery agent writes them: JSON, separated by
// commas, about 130 bytes each.
std::string endpoint_entries_json(int count);

}  // namespace quota_gateway::net::testing
