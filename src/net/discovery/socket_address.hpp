// Parses socket addresses as written in endpoint lists and in the gateway's configuration.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string>

namespace quota_gateway::net {

class InvalidSocketAddress : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses "HOST:PORT", where HOST is an IPv4 address or an IPv6 address without brackets. Throws
// InvalidSocketAddress.
boost::asio::ip::tcp::endpoint parse_socket_address(const std::string& text);

}  // namespace quota_gateway::net
