// What this process uses, and lists large enough to see it.
#pragma once

#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace quota_gateway::net::testing {

// Of this thread, us.
inline std::int64_t processor_time() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return std::int64_t(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}

// Bytes; `key` of /proc/PID/status: VmRSS or VmHWM.
inline std::size_t memory_of(const std::string& process, const std::string& key) {
  std::ifstream status("/proc/" + process + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, key.size() + 1, key + ":") == 0) {
      return std::stoul(line.substr(key.size() + 1)) * 1024;
    }
  }
  return 0;
}
// What the address sanitizer adds: it keeps 256 MB of what was freed, and room round each string.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMemoryFactor = 10;
#else
constexpr std::size_t kMemoryFactor = 1;
#endif
inline std::size_t resident() {
  return memory_of("self", "VmRSS");
}

// The members of a list as an agent writes them, about 130 bytes each.
inline std::string fleet(int members) {
  std::string out;
  out.reserve(std::size_t(members) * 140);
  for (int i = 0; i < members; ++i) {
    char text[256];
    std::snprintf(
        text, sizeof text,
        R"({"id":"s-%08x","host_port":"10.%d.%d.%d:8081","locality":"zone-%d","flavor":"m2",)"
        R"("cell":%d,"phase":"up","size":1.0,"up_since_ms":%lld})",
        unsigned(i) * 7919U, i >> 16, (i >> 8) & 255, i & 255, i % 7, i % 32,
        1'700'000'000'000LL + i);
    if (i > 0) {
      out += ',';
    }
    out += text;
  }
  return out;
}

}  // namespace quota_gateway::net::testing
