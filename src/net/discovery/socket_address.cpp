#include "net/discovery/socket_address.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>

namespace quota_gateway::net {

boost::asio::ip::tcp::endpoint parse_socket_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw InvalidSocketAddress("no port in address '" + text + "'");
  }
  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || parsed_end != end || port > std::numeric_limits<std::uint16_t>::max()) {
    throw InvalidSocketAddress("invalid port in address '" + text + "'");
  }
  boost::system::error_code invalid_host;
  const auto host = boost::asio::ip::make_address(text.substr(0, colon), invalid_host);
  if (invalid_host) {
    throw InvalidSocketAddress("invalid host in address '" + text + "'");
  }
  return {host, static_cast<std::uint16_t>(port)};
}

}  // namespace quota_gateway::net
