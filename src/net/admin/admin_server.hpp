// The HTTP server for operators, on an address of its own beside the clients': readiness at
// /ops/readiness, figures at /ops/stats. GatewayServer owns it and provides both.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "net/admin/admin_connection.hpp"
#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// At a time. Their file descriptors are reserved, so that clients can't use them up. A
// connection past that many closes the oldest one, so that slow tools can't use them up either.
constexpr std::size_t kMaxAdminConnections = 8;

class AdminServer {
 public:
  // Listens at `address`; port 0: at any free port. If it can't, it logs that and retries every
  // 0.5 s. `timers` must outlive the server, and the event loop must not run after it is gone.
  AdminServer(boost::asio::io_context& io, Timers& timers, boost::asio::ip::tcp::endpoint address,
              AdminHandlers handlers);

  // Where it listens. Throws boost::system::system_error if it doesn't yet.
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void listen();
  void accept();
  void add_connection(boost::asio::ip::tcp::socket socket);
  void remove_connection(const AdminConnection& closed);

  Timers& timers_;
  const boost::asio::ip::tcp::endpoint configured_address_;
  const AdminHandlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // the oldest first
};

}  // namespace quota_gateway::net
