#include "net/discovery/receive_limit.hpp"

#include <boost/system/error_code.hpp>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;

// Sizes of the socket's receive buffer.
constexpr int kProbeBufferBytes = 1152;
constexpr int kSmallListBufferBytes = 16384;
constexpr int kUnlimitedBufferBytes = 1 << 20;

void set_receive_buffer(tcp::socket& socket, int bytes) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
}

}  // namespace

void ReceiveLimit::apply(tcp::socket& socket, ListReadScope scope) {
  limited_ = scope != ListReadScope::kUnlimited;
  if (limited_) {
    set_receive_buffer(socket,
                       scope == ListReadScope::kProbe ? kProbeBufferBytes : kSmallListBufferBytes);
  }
}

void ReceiveLimit::lift(tcp::socket& socket) {
  if (limited_) {
    limited_ = false;
    set_receive_buffer(socket, kUnlimitedBufferBytes);
  }
}

}  // namespace quota_gateway::net
