#include "net/system_call/poll_socket.hpp"

#include <poll.h>

namespace quota_gateway::net {
namespace {

constexpr int kMaxPollCalls = 16;

}  // namespace

std::optional<bool> has_socket_event(int socket, short events) {
  for (int call = 0; call < kMaxPollCalls; ++call) {
    pollfd query{socket, events, 0};
    const int ready = ::poll(&query, 1, 0);
    if (ready >= 0) {
      return ready > 0;
    }
  }
  return std::nullopt;
}

}  // namespace quota_gateway::net
