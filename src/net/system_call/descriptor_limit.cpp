#include "net/system_call/descriptor_limit.hpp"

#include <sys/resource.h>

#include <iostream>

namespace quota_gateway::net {

std::size_t usable_descriptors(std::size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= configured) {
    return configured;
  }
  std::cerr << "descriptors: the system allows " << limit.rlim_cur << ", fewer than the "
            << configured << " of limits.sockets; serving fewer clients\n";
  return std::size_t(limit.rlim_cur);
}

}  // namespace quota_gateway::net
