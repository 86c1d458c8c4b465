// Lingering close of a client connection after its last response: discards further input until the
// client has closed its side. Closing a socket with unread input resets the connection, and the
// client could lose the response. Stateless; called by the client session, which enforces the time
// limits and closes the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "net/client/client_session_context.hpp"

namespace quota_gateway::net {

// A connection after its last response has been written.
class LingeringConnection {
 public:
  virtual boost::asio::ip::tcp::socket& socket() = 0;
  // Some input of the client has been discarded.
  virtual void on_input_discarded() = 0;
  // The client has closed its side or the connection is lost. The socket may be closed.
  virtual void on_client_finished() = 0;

 protected:
  ~LingeringConnection() = default;
};

// Shuts down the sending side of the socket, so that the client sees the end of the stream.
void send_end_of_stream(boost::asio::ip::tcp::socket& socket);

// Discards input until the client has closed its side or the socket is closed, and keeps the
// `connection` object alive until then. No other read may be pending. The functions of `connection`
// are called later, never from within this function. `context` must outlive the connection.
void discard_input_until_closed(std::shared_ptr<LingeringConnection> connection,
                                ClientSessionContext& context);

}  // namespace quota_gateway::net
