#include "net/system_call/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxOptionCalls = 16;

template <typename Socket, typename Option>
bool set_repeatedly(Socket& socket, const Option& option) {
  for (int call = 0; call < kMaxOptionCalls; ++call) {
    error_code ec;
    socket.set_option(option, ec);
    if (!ec) {
      return true;
    }
  }
  return false;
}

}  // namespace

void NoDelayOption::ensure_set(tcp::socket& socket) {
  if (is_set_) {
    return;
  }
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  is_set_ = !ec;
}

void acknowledge_received(tcp::socket& socket) {
  const int enabled = 1;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
}

bool set_receive_buffer(tcp::acceptor& acceptor, int bytes) {
  return set_repeatedly(acceptor, boost::asio::socket_base::receive_buffer_size(bytes));
}

bool set_reset_on_close(tcp::socket& socket) {
  return set_repeatedly(socket, boost::asio::socket_base::linger(true, 0));
}

}  // namespace quota_gateway::net
