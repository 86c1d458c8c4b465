#include "net/system_call/socket_wait.hpp"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// How long an event stays unnoticed if Asio was not able to register for it.
constexpr std::chrono::milliseconds kCheckInterval{10};

// A wait that ends with Asio's report or with an own look at the socket, whichever comes first.
class CheckedWait : public std::enable_shared_from_this<CheckedWait> {
 public:
  // `result` is called when the socket is writable: the error to report, or would_block to go on.
  CheckedWait(tcp::socket& socket, std::function<error_code()> result, SocketHandler handler)
      : socket_(socket),
        timer_(socket.get_executor()),
        result_(std::move(result)),
        handler_(std::move(handler)) {}

  // Asio's report.
  void complete(error_code ec) {
    if (const SocketHandler handler = std::exchange(handler_, nullptr)) {
      timer_.cancel();
      handler(ec);
    }
  }

  void check_later() {
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->handler_) {
        self->check();
      }
    });
  }

 private:
  void check() {
    if (has_socket_event(socket_.native_handle(), POLLOUT).value_or(false)) {
      const error_code ec = result_();
      if (ec != asio::error::would_block) {
        return complete(ec);
      }
    }
    check_later();
  }

  tcp::socket& socket_;
  asio::steady_timer timer_;
  std::function<error_code()> result_;
  SocketHandler handler_;  // null once it was called
};

// The result of a connect that has ended. would_block if the system does not tell it now.
error_code connect_result(tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    return asio::error::would_block;
  }
  return {error, asio::error::get_system_category()};
}

}  // namespace

void wait_writable(tcp::socket& socket, SocketHandler handler) {
  if (has_socket_event(socket.native_handle(), POLLOUT).value_or(true)) {
    asio::post(socket.get_executor(), [handler = std::move(handler)] { handler(error_code()); });
    return;
  }
  const auto wait = std::make_shared<CheckedWait>(
      socket, [] { return error_code(); }, std::move(handler));
  socket.async_wait(tcp::socket::wait_write, [wait](error_code ec) { wait->complete(ec); });
  wait->check_later();
}

void connect_socket(tcp::socket& socket, const tcp::endpoint& address, SocketHandler handler) {
  const auto wait = std::make_shared<CheckedWait>(
      socket, [&socket] { return connect_result(socket); }, std::move(handler));
  socket.async_connect(address, [wait](error_code ec) { wait->complete(ec); });
  wait->check_later();
}

}  // namespace quota_gateway::net
