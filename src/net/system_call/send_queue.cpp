#include "net/system_call/send_queue.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <optional>

namespace quota_gateway::net {
namespace {

// Empty if the system does not tell.
std::optional<std::size_t> queued_bytes(boost::asio::ip::tcp::socket& socket, unsigned long query) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), query, &bytes) != 0 || bytes < 0) {
    return std::nullopt;
  }
  return std::size_t(bytes);
}

}  // namespace

std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket) {
  return queued_bytes(socket, SIOCOUTQ).value_or(0);
}

bool awaits_acknowledgement_only(boost::asio::ip::tcp::socket& socket) {
  return unacknowledged_bytes(socket) > 0 && queued_bytes(socket, SIOCOUTQNSD) == 0;
}

}  // namespace quota_gateway::net
