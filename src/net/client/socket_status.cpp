#include "net/client/socket_status.hpp"

#include <poll.h>

#include <boost/system/error_code.hpp>

namespace quota_gateway::net {
namespace {

bool polls_ready(int socket, short events) {
  pollfd query{socket, events, 0};
  return ::poll(&query, 1, 0) > 0;
}

}  // namespace

bool has_unread_input(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  return socket.available(ignored) > 0;
}

bool has_peer_closed(boost::asio::ip::tcp::socket& socket) {
  return polls_ready(socket.native_handle(), POLLRDHUP);
}

bool has_pending_connection(boost::asio::ip::tcp::acceptor& acceptor) {
  return polls_ready(acceptor.native_handle(), POLLIN);
}

}  // namespace quota_gateway::net
