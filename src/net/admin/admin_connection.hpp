// One operator connection to the admin server: reads one HTTP request, responds immediately and
// closes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// Provides the content of the admin server's responses. Called from the event loop, once per
// request.
struct AdminHandlers {
  // Whether the gateway is ready to serve clients.
  std::function<bool()> is_ready;
  // Returns the body of /ops/stats, one line per metric.
  std::function<std::string()> render_stats;
};

// Owned jointly by the server that accepted it and by its pending asynchronous operations.
class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  // `timers` and `handlers` must outlive the connection. `on_close` is called from within close(),
  // also when the connection closes itself.
  AdminConnection(boost::asio::ip::tcp::socket socket, Timers& timers,
                  const AdminHandlers& handlers, std::function<void(AdminConnection&)> on_close);

  // Starts to read the request. Must be called once, on an object owned by a shared_ptr.
  void start();
  void close();

 private:
  void read();
  void parse(std::size_t received);
  // Checks the header of the request and lets the parser continue with the body. Returns false if
  // the request was rejected with an error response.
  bool accept_header();
  void respond_to_request();
  void respond_too_large();
  // Sends the response; calls after the first have no effect. `extra_header` is empty or begins
  // with a line break.
  void respond(int status, const std::string& body, const std::string& extra_header = "");
  void on_response_written(boost::system::error_code ec);

  boost::asio::ip::tcp::socket socket_;
  Timers& timers_;
  const AdminHandlers& handlers_;
  std::function<void(AdminConnection&)> on_close_;

  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  std::array<char, 2048> read_buffer_;
  std::string unparsed_;  // received bytes that the parser has not consumed
  std::string response_;
  bool responded_ = false;
};

}  // namespace quota_gateway::net
