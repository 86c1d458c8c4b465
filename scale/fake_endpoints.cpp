#include "fake_endpoints.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace quota_gateway::scale {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxRequestBodyBytes = 48 << 20;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

// Kept alive by its pending handlers. It may refer to the servers, which exist until the event loop
// has run its last handler.
class FakeEndpoints::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, FakeEndpoints& endpoints, Server& server)
      : socket_(std::move(socket)), timer_(endpoints.io_), endpoints_(endpoints), server_(server) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxRequestBodyBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [this, self = shared_from_this()](error_code ec, std::size_t size) {
                       if (!ec) {
                         on_request(size);
                       }
                     });
  }

 private:
  void on_request(std::size_t size) {
    endpoints_.counts_.traffic.received += size;
    ++endpoints_.counts_.requests;
    ++server_.requests;
    const auto& request = parser_->get();
    const bool is_health_check = request.target() == "/ping" || request.target() == "/_load";
    if (is_health_check || request.find("X-Trace-Id") == request.end()) {
      respond(kNotFound, false, "");
      return;
    }
    timer_.expires_after(draw_service_time());
    timer_.async_wait([this, self = shared_from_this(),
                       response = server_.response](error_code ec) {
      if (!ec) {
        respond(response.status, response.never_ran, response.status == kOk ? response.body : "");
      }
    });
  }

  std::chrono::microseconds draw_service_time() {
    const Response& response = server_.response;
    std::uniform_real_distribution<> direction(-1, 1);
    const double deviation = direction(endpoints_.random_) * response.service_time_spread;
    return std::chrono::microseconds(Micros(double(response.service_time) * (1 + deviation)));
  }

  void respond(int status, bool never_ran, const std::string& body) {
    ++endpoints_.counts_.responses[status];
    response_ = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    if (never_ran) {
      response_ += "X-Never-Ran: 1\r\n";
    }
    response_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(socket_, asio::buffer(response_),
                      [this, self = shared_from_this()](error_code ec, std::size_t size) {
                        if (!ec) {
                          on_written(size);
                        }
                      });
  }

  void on_written(std::size_t size) {
    endpoints_.counts_.traffic.sent += size;
    ++endpoints_.counts_.traffic.writes;
    if (parser_->get().keep_alive()) {
      read();
    }
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  FakeEndpoints& endpoints_;
  Server& server_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_;
};

FakeEndpoints::FakeEndpoints(asio::io_context& io, std::size_t listening, std::uint64_t seed)
    : FakeEndpoints(io, listening, seed, Response{}) {}

FakeEndpoints::FakeEndpoints(asio::io_context& io, std::size_t listening, std::uint64_t seed,
                             const Response& response)
    : io_(io), random_(seed) {
  if (listening == 0) {
    throw std::invalid_argument("the number of listening servers must not be 0");
  }
  const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
  servers_.reserve(listening);
  for (std::size_t i = 0; i < listening; ++i) {
    servers_.push_back({listen_on_loopback(io, any_port), response});
    accept(servers_.back());
  }
}

void FakeEndpoints::accept(Server& server) {
  accept_all(server.acceptor, [this, &server](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<Connection>(std::move(socket), *this, server)->read();
  });
}

tcp::endpoint FakeEndpoints::address(std::size_t server) const {
  return servers_.at(server % servers_.size()).acceptor.local_endpoint();
}

void FakeEndpoints::set_response(std::size_t server, Response response) {
  servers_.at(server % servers_.size()).response = std::move(response);
}

void FakeEndpoints::set_response(const Response& response) {
  for (Server& server : servers_) {
    server.response = response;
  }
}

std::uint64_t FakeEndpoints::requests(std::size_t server) const {
  return servers_.at(server % servers_.size()).requests;
}

}  // namespace quota_gateway::scale
