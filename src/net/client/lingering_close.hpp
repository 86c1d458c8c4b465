// Ends a client connection behind its last response: discards what the client still sends, until it
// has closed its side. Without this, a close with unread input would reset the connection and could
// take the response with it. Stateless; called by the client session, which sets the time limits
// and closes the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "net/client/client_session_context.hpp"

namespace quota_gateway::net {

// A connection that has had its last response.
class LingeringConnection {
 public:
  virtual boost::asio::ip::tcp::socket& socket() = 0;
  // Some of the client's input has been discarded.
  virtual void on_input_discarded() = 0;
  // The client has closed its side, or the connection is lost: the socket may be closed.
  virtual void on_client_finished() = 0;

 protected:
  ~LingeringConnection() = default;
};

// Tells the client that nothing follows the response.
void send_end_of_stream(boost::asio::ip::tcp::socket& socket);

// Discards input until the client has finished or the socket is closed, and keeps the connection
// alive meanwhile. No other read may be pending. Calls the connection later, never from within.
// `context` must outlive the connection.
void discard_input_until_closed(std::shared_ptr<LingeringConnection> connection,
                                ClientSessionContext& context);

}  // namespace quota_gateway::net
