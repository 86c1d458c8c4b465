// Queries the kernel for the state of a socket without reading from it. Stateless; each call makes
// one system call that doesn't block.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace quota_gateway::net {

// Whether the socket has received bytes that have not been read. False also for a lost connection.
bool has_unread_input(const boost::asio::ip::tcp::socket& socket);

// Number of received bytes that have not been read.
std::size_t unread_bytes(const boost::asio::ip::tcp::socket& socket);

// Returns the last of the `unread` received bytes, at most `max_size` of them, without reading
// them. Copies all of them through `scratch`, as the kernel offers no peek with an offset.
std::string peek_tail(boost::asio::ip::tcp::socket& socket, std::size_t unread,
                      std::size_t max_size, std::span<char> scratch);

// Whether the peer has closed its side or the connection is lost. Detects this even if earlier
// bytes have not been read.
bool has_peer_closed(boost::asio::ip::tcp::socket& socket);

// Number of segments that the kernel has dropped on their way into the socket's receive buffer. The
// peer's system sends them again, 200 ms later or more. 0 if the kernel does not tell.
std::uint32_t dropped_segments(boost::asio::ip::tcp::socket& socket);

// Whether a connection waits to be accepted.
bool has_pending_connection(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace quota_gateway::net
