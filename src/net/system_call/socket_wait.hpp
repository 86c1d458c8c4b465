// Waits for events of sockets. Used in place of Asio's async_wait() and async_connect(): Asio 1.74
// begins each wait with epoll_ctl(), which may fail for a moment (ENOMEM, ENOSPC), and ignores
// that. A wait for something that has happened before it began then lasts until something else
// happens, and a wait to write may last for ever.
#pragma once

#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <utility>

#include "net/system_call/poll_socket.hpp"

namespace quota_gateway::net {

using SocketHandler = std::function<void(boost::system::error_code)>;

// Calls the handler, never from within this call, once the socket or acceptor is readable or its
// connection has ended. It may be called too early. The handler is also called if the socket is
// closed first, with or without an error. Returns whether the socket is readable already, or true
// if the system does not tell.
template <typename Socket, typename Handler>
bool wait_readable(Socket& socket, Handler handler) {
  // The event loop asks for events after this, so none is missed that happens from now on.
  if (has_socket_event(socket.native_handle(), POLLIN).value_or(true)) {
    boost::asio::post(socket.get_executor(), [handler = std::move(handler)]() mutable {
      handler(boost::system::error_code());
    });
    return true;
  }
  socket.async_wait(Socket::wait_read, std::move(handler));
  return false;
}

// The same once the socket is writable. The socket must exist until the handler is called.
void wait_writable(boost::asio::ip::tcp::socket& socket, SocketHandler handler);

// Opens the socket, if it is not open, and connects it. Calls the handler like wait_writable(),
// with the result.
void connect_socket(boost::asio::ip::tcp::socket& socket,
                    const boost::asio::ip::tcp::endpoint& address, SocketHandler handler);

}  // namespace quota_gateway::net
