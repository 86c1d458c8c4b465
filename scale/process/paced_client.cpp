#include "process/paced_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "clocks.hpp"
#include "process/read_request.hpp"
#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

void close(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

}  // namespace

// A connection and its current request.
struct PacedClient::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::string request;
  http::response<http::string_body> response;
  Micros due = 0;
};

PacedClient::PacedClient(asio::io_context& io, PacedClientOptions options)
    : io_(io), timer_(io), options_(std::move(options)), started_at_(steady_now()) {
  schedule_next();
}

void PacedClient::schedule_next() {
  const Micros due = started_at_ + Micros(double(started_) * 1e6 / options_.requests_per_s);
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, due - steady_now())));
  timer_.async_wait([this, due](error_code error) {
    if (error) {
      return;
    }
    start_request(due);
    ++started_;
    if (started_ < options_.requests) {
      schedule_next();
    }
  });
}

std::shared_ptr<PacedClient::Connection> PacedClient::idle_connection() {
  if (idle_connections_.empty()) {
    return std::make_shared<Connection>(io_);
  }
  std::shared_ptr<Connection> connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

void PacedClient::start_request(Micros due) {
  ReadRequest request;
  request.customer = started_ % kTenantsPerGateway + 1;
  request.trace_id = started_ + 1;
  const std::shared_ptr<Connection> connection = idle_connection();
  connection->due = due;
  connection->request = render(request);
  if (connection->socket.is_open()) {
    send(connection);
  } else {
    connect(connection);
  }
}

void PacedClient::connect(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_connect(options_.server, [this, connection](error_code error) {
    if (error) {
      on_error(connection);
      return;
    }
    connection->socket.set_option(tcp::no_delay(true));
    send(connection);
  });
}

void PacedClient::send(const std::shared_ptr<Connection>& connection) {
  asio::async_write(connection->socket, asio::buffer(connection->request),
                    [this, connection](error_code error, std::size_t) {
                      if (error) {
                        on_error(connection);
                        return;
                      }
                      receive(connection);
                    });
}

void PacedClient::receive(const std::shared_ptr<Connection>& connection) {
  connection->response = {};
  http::async_read(connection->socket, connection->buffer, connection->response,
                   [this, connection](error_code error, std::size_t) {
                     if (error) {
                       on_error(connection);
                       return;
                     }
                     on_response(connection);
                   });
}

void PacedClient::on_response(const std::shared_ptr<Connection>& connection) {
  ++completed_;
  if (connection->response.result() == http::status::ok) {
    latencies_ms_.push_back(double(steady_now() - connection->due) / 1e3);
  }
  if (connection->response.keep_alive()) {
    idle_connections_.push_back(connection);
  } else {
    close(connection->socket);
  }
}

void PacedClient::on_error(const std::shared_ptr<Connection>& connection) {
  ++completed_;
  close(connection->socket);
}

}  // namespace quota_gateway::scale
