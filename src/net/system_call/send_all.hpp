// Sends all bytes on a TCP socket, waiting for the socket as often as needed. Used in place of
// asio::async_write(): after a send that took a part of the bytes, Asio waits until the kernel
// reports the socket writable anew, which does not happen if its buffer was not full.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

#include "net/system_call/socket_io.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {

// Sends the bytes and then calls `on_done(error_code, std::size_t sent)`, where `sent` counts the
// bytes before an error too. Before each step and before `on_done`, calls `is_current()`; if that
// returns false, because the owner has closed the socket or uses it for something else, nothing
// more happens. Neither function is called from within send_all(). The socket and the bytes must
// exist until then.
template <typename IsCurrent, typename OnDone>
void send_all(boost::asio::ip::tcp::socket& socket, std::string_view bytes, IsCurrent is_current,
              OnDone on_done, std::size_t sent = 0) {
  namespace asio = boost::asio;
  using boost::system::error_code;
  error_code ec;
  if (sent < bytes.size()) {
    sent += send_some(socket, bytes.substr(sent), ec);
  }
  const bool is_failed = ec && ec != asio::error::would_block;
  if (is_failed || sent == bytes.size()) {
    asio::post(socket.get_executor(),
               [ec = is_failed ? ec : error_code(), sent, is_current = std::move(is_current),
                on_done = std::move(on_done)]() mutable {
                 if (is_current()) {
                   on_done(ec, sent);
                 }
               });
    return;
  }
  wait_writable(socket, [&socket, bytes, sent, is_current = std::move(is_current),
                         on_done = std::move(on_done)](error_code wait_error) mutable {
    if (!is_current()) {
      return;
    }
    if (wait_error) {
      return on_done(wait_error, sent);
    }
    send_all(socket, bytes, std::move(is_current), std::move(on_done), sent);
  });
}

}  // namespace quota_gateway::net
