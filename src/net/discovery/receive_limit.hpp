// How much the system accepts ahead from a discovery agent. Owned by DiscoveryClient.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "net/discovery/list_retry_policy.hpp"

namespace quota_gateway::net {

// What an agent has sent has gone over the network, read or not, and the system would accept
// megabytes ahead. So before a list of which little may be read, the receive buffer is made small.
class ReceiveLimit {
 public:
  // Whether little of what the connection brings may be read.
  bool is_limited() const { return limited_; }

  // Of a new connection, whose socket is open and not connected yet.
  void apply(boost::asio::ip::tcp::socket& socket, ListReadScope scope);
  // All of a list may be read after all.
  void lift(boost::asio::ip::tcp::socket& socket);

 private:
  bool limited_ = false;
};

}  // namespace quota_gateway::net
