// Looks up TCP sockets of other processes of this machine in /proc/net/tcp.
#pragma once

#include <cstddef>
#include <optional>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

struct SocketEntry {
  std::size_t unread_bytes = 0;
  bool is_accepted = false;  // by a process; if not, it waits in the queue of the listening socket
};

// The IPv4 socket with these addresses. None: there is none.
std::optional<SocketEntry> find_socket(const tcp::endpoint& local, const tcp::endpoint& remote);

}  // namespace quota_gateway::net::testing
