#include "support/resource_usage.hpp"

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>

namespace quota_gateway::net::testing {

std::int64_t thread_cpu_time_us() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::int64_t(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

std::size_t process_memory_bytes(const std::string& process, const std::string& key) {
  std::ifstream status("/proc/" + process + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, key.size() + 1, key + ":") == 0) {
      return std::stoul(line.substr(key.size() + 1)) * 1024;
    }
  }
  return 0;
}

std::size_t resident_memory_bytes() {
  return process_memory_bytes("self", "VmRSS");
}

std::string endpoint_entries_json(int count) {
  constexpr std::size_t kReservedBytesPerEntry = 140;
  std::string entries;
  entries.reserve(std::size_t(count) * kReservedBytesPerEntry);
  for (int i = 0; i < count; ++i) {
    std::array<char, 256> entry{};
    std::snprintf(
        entry.data(), entry.size(),
        R"({"id":"s-%08x","host_port":"10.%d.%d.%d:8081","locality":"zone-%d","flavor":"m2",)"
        R"("cell":%d,"phase":"up","size":1.0,"up_since_ms":%lld})",
        unsigned(i) * 7919U, i >> 16, (i >> 8) & 255, i & 255, i % 7, i % 32,
        1'700'000'000'000LL + i);
    if (i > 0) {
      entries += ',';
    }
    entries += entry.data();
  }
  return entries;
}

}  // namespace quota_gateway::net::testing
