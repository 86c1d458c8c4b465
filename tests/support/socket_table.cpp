#include "support/socket_table.hpp"

#include <arpa/inet.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

namespace quota_gateway::net::testing {
namespace {

// The table states the bytes of an address as one number in the order of the processor.
std::string table_address(const tcp::endpoint& endpoint) {
  std::array<char, 14> text{};
  std::snprintf(text.data(), text.size(), "%08X:%04X", ntohl(endpoint.address().to_v4().to_uint()),
                unsigned(endpoint.port()));
  return text.data();
}

}  // namespace

std::optional<SocketEntry> find_socket(const tcp::endpoint& local, const tcp::endpoint& remote) {
  const std::string addresses = table_address(local) + " " + table_address(remote);
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    if (line.find(addresses) == std::string::npos) {
      continue;
    }
    unsigned long unread = 0;
    unsigned long inode = 0;
    if (std::sscanf(line.c_str(), "%*d: %*s %*s %*x %*x:%lx %*x:%*x %*x %*u %*u %lu", &unread,
                    &inode) == 2) {
      return SocketEntry{unread, inode != 0};
    }
  }
  return std::nullopt;
}

}  // namespace quota_gateway::net::testing
