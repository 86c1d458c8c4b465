// Queries the kernel for the bytes that were written to a TCP socket and have not arrived yet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace quota_gateway::net {

// Number of written bytes that the peer's system has not acknowledged, including those that wait in
// this system. 0 if the system does not tell.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

// Whether all written bytes were sent and some have not been acknowledged. Not so while bytes wait
// in this system, as they do for a peer that reads nothing.
bool awaits_acknowledgement_only(boost::asio::ip::tcp::socket& socket);

}  // namespace quota_gateway::net
