// Processor time and memory that a test uses, and lists large enough to see them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace quota_gateway::net::testing {

// What the address sanitizer adds: it keeps 256 MB of what was freed, and space round each string.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::size_t kSanitizerMemoryFactor = 10;
#else
inline constexpr std::size_t kSanitizerMemoryFactor = 1;
#endif

// Of this thread, us.
std::int64_t thread_cpu_time_us();

// Bytes; 0 if unknown. `process`: an id or "self". `key` of its status file: VmRSS or VmHWM.
std::size_t process_memory_bytes(const std::string& process, const std::string& key);

// Bytes of this process.
std::size_t resident_memory_bytes();

// The members of a list as an agent writes them, about 130 bytes each.
std::string endpoint_entries_json(int members);

}  // namespace quota_gateway::net::testing
