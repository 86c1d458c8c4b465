// The operators' door: a listener of its own beside the clients', one call a connection, answered
// at once.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// Callers at a time. Their descriptors are put by, so that clients can't take them; a caller past
// that many takes the place of the one that has kept its connection longest, so that slow callers
// can't either.
constexpr std::size_t kMaxAdminConnections = 8;

class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io, Timers& timers, const boost::asio::ip::tcp::endpoint& at,
              std::function<bool()> ready, std::function<std::string()> figures);
  ~AdminServer();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class AdminConnection;
  void listen();
  void accept();

  Timers& timers_;
  const boost::asio::ip::tcp::endpoint at_;
  std::function<bool()> ready_;
  std::function<std::string()> figures_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<AdminConnection>> callers_;  // in the order in which they came
};

}  // namespace quota_gateway::net
