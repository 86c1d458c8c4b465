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

// A connection and the request on it.
struct PacedClient::Call {
  explicit Call(asio::io_context& io) : socket(io) {}
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

std::shared_ptr<PacedClient::Call> PacedClient::free_call() {
  if (idle_calls_.empty()) {
    return std::make_shared<Call>(io_);
  }
  std::shared_ptr<Call> call = std::move(idle_calls_.back());
  idle_calls_.pop_back();
  return call;
}

void PacedClient::start_request(Micros due) {
  ReadRequest request;
  request.customer = started_ % kTenantsPerGateway + 1;
  request.trace_id = started_ + 1;
  const std::shared_ptr<Call> call = free_call();
  call->due = due;
  call->request = render(request);
  if (call->socket.is_open()) {
    send(call);
  } else {
    connect(call);
  }
}

void PacedClient::connect(const std::shared_ptr<Call>& call) {
  call->socket.async_connect(options_.server, [this, call](error_code error) {
    if (error) {
      on_error(call);
      return;
    }
    call->socket.set_option(tcp::no_delay(true));
    send(call);
  });
}

void PacedClient::send(const std::shared_ptr<Call>& call) {
  asio::async_write(call->socket, asio::buffer(call->request),
                    [this, call](error_code error, std::size_t) {
                      if (error) {
                        on_error(call);
                        return;
                      }
                      receive(call);
                    });
}

void PacedClient::receive(const std::shared_ptr<Call>& call) {
  call->response = {};
  http::async_read(call->socket, call->buffer, call->response,
                   [this, call](error_code error, std::size_t) {
                     if (error) {
                       on_error(call);
                       return;
                     }
                     on_response(call);
                   });
}

void PacedClient::on_response(const std::shared_ptr<Call>& call) {
  ++completed_;
  if (call->response.result() == http::status::ok) {
    latencies_ms_.push_back(double(steady_now() - call->due) / 1e3);
  }
  if (call->response.keep_alive()) {
    idle_calls_.push_back(call);
  } else {
    close(call->socket);
  }
}

void PacedClient::on_error(const std::shared_ptr<Call>& call) {
  ++completed_;
  close(call->socket);
}

}  // namespace quota_gateway::scale
