// Servers for a real gateway process, at as many addresses as are listed. Hosted by an
// EventLoopThread, on whose event loop all of it runs.
//
// Listed servers can't share the few addresses that listen: of two servers at one address a gateway
// takes one to have replaced the other. So a single socket listens at all of 127.0.0.0/8. It is
// bound to the loopback device, so that nothing that comes by another one reaches it.
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
  // Every request is answered with 200 `service_time` us after its last byte. Throws
  // std::system_error if the socket cannot be had.
  LoopbackServers(boost::asio::io_context& io, Micros service_time);

  // Of the server with this index, of which there are 4 million.
  boost::asio::ip::tcp::endpoint address(std::size_t index) const;
  std::string host_port(std::size_t index) const;

 private:
  struct Connection;
  void accept();
  void read(const std::shared_ptr<Connection>& connection);
  void answer_later(const std::shared_ptr<Connection>& connection);
  void answer(const std::shared_ptr<Connection>& connection);

  boost::asio::ip::tcp::acceptor acceptor_;
  const Micros service_time_;
  unsigned short port_ = 0;
};

}  // namespace quota_gateway::scale
