// In a file of its own, because tcp_info in <linux/tcp.h> has more fields than in the C library's
// <netinet/tcp.h>, and the two headers cannot be included together.
#include "support/bytes_sent.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace quota_gateway::net::testing {

std::uint64_t bytes_sent(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_bytes_sent;
}

}  // namespace quota_gateway::net::testing
