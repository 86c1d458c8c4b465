// HTTP servers for a real gateway process, at an address for each listed server. Runs on the event
// loop of an EventLoopThread.
//
// Listed servers need distinct addresses, because a gateway assumes that a server has replaced
// another one that is listed at the same address. A single socket therefore listens at all of
// 127.0.0.0/8. It is bound to the loopback device, so that it accepts no connections from other
// devices.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class LoopbackServers {
 public:
  // Each request gets a response with status 200 `service_time` us after its last byte. Throws
  // std::system_error if the socket cannot be created.
  LoopbackServers(boost::asio::io_context& io, Micros service_time);

  // The address of the server with this index. The addresses of 4 million servers differ; beyond
  // that they repeat.
  boost::asio::ip::tcp::endpoint address(std::size_t index) const;
  std::string host_port(std::size_t index) const;

 private:
  struct Connection;
  void accept();
  void read(const std::shared_ptr<Connection>& connection);
  void schedule_response(const std::shared_ptr<Connection>& connection);
  void send_response(const std::shared_ptr<Connection>& connection);

  boost::asio::ip::tcp::acceptor acceptor_;
  const Micros service_time_;
  unsigned short port_ = 0;
};

}  // namespace quota_gateway::scale
