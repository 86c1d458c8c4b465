// One connection of an operator's tool to the admin server: reads one HTTP request, responds at
// once and closes.
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

// Where the admin server's responses come from. Called from the event loop, once a request.
struct AdminHandlers {
  // Whether the gateway is fit to serve clients.
  std::function<bool()> is_ready;
  // The body of /ops/stats, a line for each figure.
  std::function<std::string()> render_stats;
};

// Its pending operations share its ownership with the server that accepted it.
class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  // `timers` and `handlers` must outlive the connection. `on_close` is called from within close(),
  // also when the connection closes by itself.
  AdminConnection(boost::asio::ip::tcp::socket socket, Timers& timers,
                  const AdminHandlers& handlers, std::function<void(AdminConnection&)> on_close);

  // Reads the request. Call it once, on an object that a shared_ptr owns.
  void start();
  void close();

 private:
  void read();
  void parse(std::size_t received);
  // False: the request has been responded to with an error.
  bool accept_header();
  void respond_to_request();
  void respond_too_large();
  // Only the first response counts. `extra_header` begins with a line break.
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
