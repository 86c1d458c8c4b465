// Asks the system, without waiting, what has happened at a socket.
#pragma once

#include <optional>

namespace quota_gateway::net {

// Returns whether one of the events (POLLIN, POLLOUT, ...) has happened at the socket, or the
// connection was lost. Repeats a call that fails, some times; empty if the system still does not
// tell.
std::optional<bool> has_socket_event(int socket, short events);

}  // namespace quota_gateway::net
