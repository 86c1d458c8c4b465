#include "net/client/socket_status.hpp"

#include <linux/sock_diag.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <boost/system/error_code.hpp>
#include <vector>

#include "net/system_call/interrupted_call.hpp"
#include "net/system_call/poll_socket.hpp"

namespace quota_gateway::net {
namespace {

bool polls_ready(int socket, short events) {
  return has_socket_event(socket, events).value_or(false);
}

}  // namespace

bool has_unread_input(const boost::asio::ip::tcp::socket& socket) {
  return unread_bytes(socket) > 0;
}

std::size_t unread_bytes(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  return socket.available(ignored);
}

std::string peek_tail(boost::asio::ip::tcp::socket& socket, std::size_t unread,
                      std::size_t max_size, std::span<char> scratch) {
  std::string tail(std::min(unread, max_size), '\0');
  const std::size_t skipped = unread - tail.size();
  std::vector<iovec> parts;  // all parts before the tail overwrite each other
  for (std::size_t offset = 0; offset < skipped; offset += scratch.size()) {
    parts.push_back({scratch.data(), std::min(scratch.size(), skipped - offset)});
  }
  parts.push_back({tail.data(), tail.size()});
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  const auto peeked = repeat_if_interrupted(
      [&] { return ::recvmsg(socket.native_handle(), &message, MSG_PEEK | MSG_DONTWAIT); });
  return peeked == ssize_t(unread) ? tail : std::string();
}

bool has_peer_closed(boost::asio::ip::tcp::socket& socket) {
  return polls_ready(socket.native_handle(), POLLRDHUP);
}

std::uint32_t dropped_segments(boost::asio::ip::tcp::socket& socket) {
  std::array<std::uint32_t, SK_MEMINFO_VARS> values{};
  socklen_t size = sizeof values;
  const int failed =
      ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_MEMINFO, values.data(), &size);
  const bool is_told = failed == 0 && size > SK_MEMINFO_DROPS * sizeof(std::uint32_t);
  return is_told ? values[SK_MEMINFO_DROPS] : 0;
}

bool has_pending_connection(boost::asio::ip::tcp::acceptor& acceptor) {
  return polls_ready(acceptor.native_handle(), POLLIN);
}

}  // namespace quota_gateway::net
