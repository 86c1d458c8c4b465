#include "net/system_call/socket_io.hpp"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>

#include "net/system_call/interrupted_call.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

error_code last_error() {
  if (is_temporary_error(errno)) {
    return asio::error::would_block;
  }
  return {errno, asio::error::get_system_category()};
}

}  // namespace

bool is_temporary_error(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS || error == ENOMEM;
}

std::size_t receive_some(tcp::socket& socket, std::span<char> buffer, error_code& ec) {
  ec.clear();
  const auto received = repeat_if_interrupted(
      [&] { return ::recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT); });
  if (received < 0) {
    ec = last_error();
  } else if (received == 0) {
    ec = asio::error::eof;
  }
  return received > 0 ? std::size_t(received) : 0;
}

std::size_t send_some(tcp::socket& socket, std::string_view bytes, error_code& ec) {
  ec.clear();
  const auto sent = repeat_if_interrupted([&] {
    return ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  });
  if (sent < 0) {
    ec = last_error();
  }
  return sent > 0 ? std::size_t(sent) : 0;
}

}  // namespace quota_gateway::net
