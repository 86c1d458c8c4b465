#include "process_resources.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace quota_gateway::scale {

std::size_t raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::runtime_error("cannot read the limit on open file descriptors");
  }
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::runtime_error("cannot raise the limit on open file descriptors");
  }
  return std::size_t(limit.rlim_cur);
}

std::uint64_t allocated_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::uint64_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t size_pages = 0;
  std::uint64_t resident_pages = 0;
  file >> size_pages >> resident_pages;
  return resident_pages * std::uint64_t(sysconf(_SC_PAGESIZE));
}

}  // namespace quota_gateway::scale
