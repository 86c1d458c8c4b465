// Accepts the connections of one listening socket, whatever calls fail for a moment. Used in place
// of Asio's async_accept(), which closes a connection that it cannot register for events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>

#include "net/system_call/owned_descriptor.hpp"

namespace quota_gateway::net {

class ConnectionAcceptor {
 public:
  // `on_accepted` gets each accepted connection as a non-blocking socket, from the event loop, and
  // up to `max_batch` connections in one turn of the loop. `acceptor` must exist as long as this
  // object, and the event loop must not run after both.
  ConnectionAcceptor(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor& acceptor,
                     int max_batch, std::function<void(boost::asio::ip::tcp::socket)> on_accepted);

  // Accepts one connection: the first that waits, or the next one. No effect while a connection is
  // awaited. While the process has no descriptor left, tries again every 20 ms.
  void accept_next();
  // Accepts no connection until the next accept_next().
  void stop();
  // Takes up accepting again if an exception has interrupted it. Returns whether it had.
  bool resume();
  // Whether a connection was accepted and not passed on yet.
  bool has_pending_connection() const { return unregistered_.is_open(); }

 private:
  void on_readable(boost::system::error_code ec);
  void accept_batch();
  bool accept_one();
  void register_connection();
  void accept_unless_stopped();
  void call_after(std::chrono::milliseconds delay, void (ConnectionAcceptor::*step)());

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor& acceptor_;
  int max_batch_;
  std::function<void(boost::asio::ip::tcp::socket)> on_accepted_;
  boost::asio::steady_timer timer_;
  // An accepted connection that the event loop does not watch yet.
  OwnedDescriptor unregistered_;
  bool is_waiting_ = false;  // for a connection, or to try again
  bool is_accepting_batch_ = false;
  bool wants_next_ = false;  // accept_next() was called while a batch is accepted
  bool is_stopped_ = false;
};

}  // namespace quota_gateway::net
