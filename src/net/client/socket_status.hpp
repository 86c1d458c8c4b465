// What the kernel knows about a socket, asked without reading from it. Stateless; each call is one
// system call that doesn't block.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace quota_gateway::net {

// Received bytes that have not been read yet. False also for a lost connection.
bool has_unread_input(const boost::asio::ip::tcp::socket& socket);

// Whether the peer has closed its side or the connection is lost, even if bytes that arrived before
// are still unread.
bool has_peer_closed(boost::asio::ip::tcp::socket& socket);

// Whether a connection waits to be accepted.
bool has_pending_connection(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace quota_gateway::net
