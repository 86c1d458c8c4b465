// Receives and sends on connected TCP sockets without waiting. All modules that do so themselves,
// and not through an asynchronous operation of Asio, use these functions: Asio's read_some() and
// write_some() report a call that a signal interrupted as an error of the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <span>
#include <string_view>

namespace quota_gateway::net {

// Whether a call that failed with this errno may succeed later on the same connection: the call
// would have had to wait, or the system lacks memory for it.
bool is_temporary_error(int error);

// Receives at most `buffer.size()` bytes, which must not be 0, and returns their number. If it is
// 0, `ec` is would_block if none has arrived or the system lacks memory for the call, eof if the
// peer has closed its side, or the error that ended the connection.
std::size_t receive_some(boost::asio::ip::tcp::socket& socket, std::span<char> buffer,
                         boost::system::error_code& ec);

// Sends a part of the bytes, or all, and returns the number of sent ones. If it is 0 although there
// are bytes, `ec` is would_block if the socket takes none now or the system lacks memory for the
// call, or the error that ended the connection.
std::size_t send_some(boost::asio::ip::tcp::socket& socket, std::string_view bytes,
                      boost::system::error_code& ec);

}  // namespace quota_gateway::net
