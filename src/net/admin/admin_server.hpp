// The HTTP server for operators, on an address separate from the one for clients: readiness at
// /ops/readiness, metrics at /ops/stats. Owned by GatewayServer, which provides the content of
// both.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "net/admin/admin_connection.hpp"
#include "net/event_loop/timers.hpp"
#include "net/system_call/connection_acceptor.hpp"

namespace quota_gateway::net {

// Maximum number of simultaneous admin connections. GatewayServer reserves file descriptors for
// them, so that clients cannot exhaust them. A connection beyond the limit closes the oldest one,
// so that slow tools cannot block others.
constexpr std::size_t kMaxAdminConnections = 8;

class AdminServer {
 public:
  // Listens at `address`; port 0 selects any free port. If listening fails, logs the error and
  // retries every 0.5 s. `timers` must outlive the server, and the event loop must not run after
  // the server was destroyed.
  AdminServer(boost::asio::io_context& io, Timers& timers, boost::asio::ip::tcp::endpoint address,
              AdminHandlers handlers);

  // The address that the server listens at. Throws boost::system::system_error if it does not
  // listen yet.
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Accepts connections again if an exception has interrupted that. Returns whether it had.
  bool resume() { return accepted_.resume(); }

 private:
  void listen();
  void add_connection(boost::asio::ip::tcp::socket socket);
  void remove_connection(const AdminConnection& closed);

  Timers& timers_;
  const boost::asio::ip::tcp::endpoint configured_address_;
  const AdminHandlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ConnectionAcceptor accepted_;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // oldest first
};

}  // namespace quota_gateway::net
