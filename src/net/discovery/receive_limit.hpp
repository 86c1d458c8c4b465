// Limits how much data the kernel buffers from a discovery agent. Owned by DiscoveryClient.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "net/discovery/list_retry_policy.hpp"

namespace quota_gateway::net {

// The kernel would receive megabytes ahead of the reader, and those bytes use the network even if
// they are never read. Therefore the receive buffer is made small if only little of the next
// response may be read.
class ReceiveLimit {
 public:
  // Whether the current connection has a limit.
  bool is_limited() const { return limited_; }

  // Sets the limit for a new connection. The socket must be open and not connected yet.
  void apply(boost::asio::ip::tcp::socket& socket, ListReadScope scope);
  // Removes the limit once a list may be read completely.
  void lift(boost::asio::ip::tcp::socket& socket);

 private:
  bool limited_ = false;
};

}  // namespace quota_gateway::net
