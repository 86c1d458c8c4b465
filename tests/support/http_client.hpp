// A client of the gateway, on the loop of the test.
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

// Has one connection.
class Client {
 public:
  Client(asio::io_context& io, const tcp::endpoint& address);

  // Blocks until all is written; errors are ignored.
  void send(const std::string& text);
  // The next response; none if the connection ends first.
  std::optional<HttpResponse> receive();
  // Whether the gateway ends the connection before it sends more.
  bool wait_for_close();

 private:
  asio::io_context& io_;
  boost::beast::flat_buffer buffer_;

 public:
  tcp::socket socket;
};

}  // namespace quota_gateway::net::testing
