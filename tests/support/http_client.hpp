// A client of the gateway. It runs in the event loop of the test.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

namespace http = boost::beast::http;
using HttpResponse = http::response<http::string_body>;

// An HTTP client with one connection, which the constructor opens.
class Client {
 public:
  Client(asio::io_context& io, const tcp::endpoint& address);

  // Blocks until all of the text is written. Ignores errors.
  void send(const std::string& text);
  // Waits for the next response and returns it, or none if the connection ends first. Reports a
  // test failure if neither happens within the time limit of run_until().
  std::optional<HttpResponse> receive();
  // Waits for the gateway to close or reset the connection. Returns false if the gateway sends data
  // first, or if nothing happens within the time limit of run_until().
  bool wait_for_close();
  // Waits for the gateway to end an idle connection: with a response 503 that announces the close,
  // and then the end of the stream, no reset. Returns false if anything else happens.
  bool wait_for_idle_end();

 private:
  asio::io_context& io_;
  boost::beast::flat_buffer buffer_;

 public:
  tcp::socket socket;
};

}  // namespace quota_gateway::net::testing
