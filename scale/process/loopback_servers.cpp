#include "process/loopback_servers.hpp"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <system_error>
#include <utility>

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kLoopbackDevice = "lo";
constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::uint32_t kFirstAddress = (127U << 24) + (64U << 16);  // 127.64.0.0
constexpr std::uint32_t kAddressCount = 64U << 16;                   // up to 127.127.255.255

void bind_to_loopback_device(tcp::acceptor& acceptor) {
  if (::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_BINDTODEVICE, kLoopbackDevice.data(),
                   kLoopbackDevice.size()) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot bind a socket to the loopback device");
  }
}

}  // namespace

struct LoopbackServers::Connection {
  explicit Connection(tcp::socket accepted)
      : socket(std::move(accepted)), service_timer(socket.get_executor()) {}
  tcp::socket socket;
  asio::steady_timer service_timer;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
};

LoopbackServers::LoopbackServers(asio::io_context& io, Micros service_time)
    : acceptor_(io), service_time_(service_time) {
  acceptor_.open(tcp::v4());
  bind_to_loopback_device(acceptor_);
  acceptor_.bind({asio::ip::address_v4::any(), 0});
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  accept();
}

tcp::endpoint LoopbackServers::address(std::size_t index) const {
  const std::uint32_t host = kFirstAddress + std::uint32_t(index % kAddressCount);
  return {asio::ip::address_v4(host), port_};
}

std::string LoopbackServers::host_port(std::size_t index) const {
  return address(index).address().to_string() + ":" + std::to_string(port_);
}

void LoopbackServers::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) {
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    read(std::make_shared<Connection>(std::move(socket)));
    accept();
  });
}

void LoopbackServers::read(const std::shared_ptr<Connection>& connection) {
  connection->request = {};
  http::async_read(connection->socket, connection->buffer, connection->request,
                   [this, connection](error_code error, std::size_t) {
                     if (!error) {
                       schedule_response(connection);
                     }
                   });
}

void LoopbackServers::schedule_response(const std::shared_ptr<Connection>& connection) {
  connection->service_timer.expires_after(std::chrono::microseconds(service_time_));
  connection->service_timer.async_wait([this, connection](error_code error) {
    if (!error) {
      send_response(connection);
    }
  });
}

void LoopbackServers::send_response(const std::shared_ptr<Connection>& connection) {
  asio::async_write(connection->socket, asio::buffer(kResponse),
                    [this, connection](error_code error, std::size_t) {
                      if (!error) {
                        read(connection);
                      }
                    });
}

}  // namespace quota_gateway::scale
