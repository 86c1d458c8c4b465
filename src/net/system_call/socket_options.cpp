#include "net/system_call/socket_options.hpp"

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxResetOptionCalls = 16;

}  // namespace

void NoDelayOption::ensure_set(tcp::socket& socket) {
  if (is_set_) {
    return;
  }
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  is_set_ = !ec;
}

bool set_reset_on_close(tcp::socket& socket) {
  for (int call = 0; call < kMaxResetOptionCalls; ++call) {
    error_code ec;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    if (!ec) {
      return true;
    }
  }
  return false;
}

}  // namespace quota_gateway::net
