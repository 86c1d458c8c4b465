#include "support/http_client.hpp"

#include <gtest/gtest.h>

#include "support/event_loop_runner.hpp"

namespace quota_gateway::net::testing {

Client::Client(asio::io_context& io, const tcp::endpoint& address) : io_(io), socket(io) {
  socket.connect(address);
}

void Client::send(const std::string& text) {
  error_code ignored;
  asio::write(socket, asio::buffer(text), ignored);
}

std::optional<HttpResponse> Client::receive() {
  std::optional<error_code> done;
  HttpResponse response;
  http::async_read(socket, buffer_, response, [&](error_code ec, std::size_t) { done = ec; });
  if (!run_until(io_, [&] { return done.has_value(); })) {
    ADD_FAILURE() << "the gateway sent no response within the time limit";
  }
  if (!done || *done) {
    return std::nullopt;
  }
  return response;
}

bool Client::wait_for_close() {
  std::optional<error_code> done;
  char byte = 0;
  socket.async_read_some(asio::buffer(&byte, 1), [&](error_code ec, std::size_t) { done = ec; });
  return run_until(io_, [&] { return done.has_value(); }) && done->failed();
}

bool Client::wait_for_idle_end() {
  const auto response = receive();
  if (!response || response->result_int() != 503 || response->keep_alive()) {
    return false;
  }
  std::optional<error_code> done;
  char byte = 0;
  socket.async_read_some(asio::buffer(&byte, 1), [&](error_code ec, std::size_t) { done = ec; });
  return run_until(io_, [&] { return done.has_value(); }) && *done == asio::error::eof;
}

}  // namespace quota_gateway::net::testing
