// Ends a client connection behind its last response: discards what the client still sends, until it
// has closed its side. Without this, a close with unread input would reset the connection and could
// take the response with it. Part of a client session, which sets the time limits and closes the
// socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "net/client/client_session_context.hpp"

namespace quota_gateway::net {

class LingeringClose {
 public:
  class Owner {
   public:
    // Some of the client's input has been discarded.
    virtual void on_input_discarded() = 0;
    // The client has closed its side, or the connection is lost: the socket may be closed.
    virtual void on_client_finished() = 0;

   protected:
    ~Owner() = default;
  };

  LingeringClose(Owner& owner, ClientSessionContext& context, boost::asio::ip::tcp::socket& socket)
      : owner_(owner), context_(context), socket_(socket) {}

  // Tells the client that nothing follows the response.
  void send_end();
  // Discards input until the client has finished or the socket is closed. No read may be pending.
  // `self` keeps this object alive meanwhile. Calls back later, never from within.
  void discard_input(std::shared_ptr<LingeringClose> self);

 private:
  enum class Peer { kMaySendMore, kFinished };

  void on_readable(boost::system::error_code ec, std::shared_ptr<LingeringClose> self);
  Peer discard_received_bytes();

  Owner& owner_;
  ClientSessionContext& context_;
  boost::asio::ip::tcp::socket& socket_;
};

}  // namespace quota_gateway::net
