// Repeats system calls that a signal interrupts.
#pragma once

#include <cerrno>

namespace quota_gateway::net {

// Makes the call until it is not interrupted (EINTR), and returns its result. `call` must return a
// negative number after an error, with errno set. Not for close(), which must not be repeated.
template <typename Call>
auto repeat_if_interrupted(const Call& call) {
  auto result = call();
  while (result < 0 && errno == EINTR) {
    result = call();
  }
  return result;
}

}  // namespace quota_gateway::net
