// Accepts client connections, limits their number, and passes each response to the session of its
// client. Owns the listening socket and the client sessions. The gateway server uses the listener
// on its event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/client/client_callbacks.hpp"
#include "net/client/client_session.hpp"
#include "net/client/client_session_context.hpp"
#include "net/client/session_table.hpp"
#include "net/event_loop/timers.hpp"
#include "net/system_call/connection_acceptor.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Limits of a ClientListener.
struct ClientListenerLimits {
  std::size_t max_clients = 0;  // the number of connections
  BufferLimits buffers;         // of each connection
};

// Listens at one address. All functions must be called on the event loop's thread.
class ClientListener final : private ClientSessionOwner {
 public:
  // `io`, `timers`, `clock`, `settings` and `memory` must outlive the listener. `settings` may
  // change while the listener exists.
  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 const Settings& settings, MemoryBudget& memory, ClientListenerLimits limits,
                 ClientListenerCallbacks callbacks);

  // Binds to `address` and listens. Clients can connect, but no connection is accepted before
  // start_accepting(). Returns an error if the address can't be listened on; a later call may
  // succeed.
  boost::system::error_code listen(const boost::asio::ip::tcp::endpoint& address);
  // Uses a socket that already listens at `address`, in place of listen(). Takes ownership of it.
  void adopt(const boost::asio::ip::tcp::endpoint& address, int listening_socket);
  int listening_socket() { return acceptor_.native_handle(); }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  void start_accepting();
  bool is_accepting() const { return is_accepting_; }
  // Stops accepting, so that another process that listens on the same socket gets the new clients,
  // and closes each existing connection with its next response, so that its client reconnects to
  // that process.
  void hand_over_new_clients();

  // Whether the client is connected and has not closed its side, which its session may not have
  // noticed yet. If it has left, the event loop closes its session next.
  bool check_connected(ClientId client);

  // The following functions have no effect if the client has disconnected.

  // Sends the complete response to the client's pending request.
  void respond(ClientId client, const ClientResponse& response);
  // Begins a 200 response with a streamed body and sends the first piece, which may be empty.
  // `content_length` is the length of the complete body in bytes, if it is known. After each piece,
  // send_body_piece() and finish_response() must not be called before on_piece_sent.
  void begin_response(ClientId client, std::optional<std::uint64_t> content_length,
                      const std::string& piece);
  void send_body_piece(ClientId client, std::string piece);
  void finish_response(ClientId client);
  // Resets the connection during a streamed response, so that the client notices that the response
  // is incomplete. The reset follows once the client's system has received what was written.
  void abort_response(ClientId client);
  // Requests the next piece of the request's body. on_body_piece is called with it later, never
  // from within this function.
  void request_body_piece(ClientId client);
  // Withdraws the request for a piece that has not been delivered. The piece stays at the session
  // until the next request_body_piece().
  void withdraw_body_piece_request(ClientId client);

  // Closes the connections that are idle between requests now, and every other connection with its
  // next response. The listener continues to accept connections.
  void drain();
  // Whether no connection waits to be accepted (unless new clients were handed over) and no session
  // has unfinished work: a first request that may still arrive, unread input, a request that is
  // being received or answered, or a client that may not have read its last response.
  bool is_idle();

  // Number of segments from clients that the kernel has dropped because the receive buffer was
  // full, on connections that are closed by now. The end of such a connection is seen late.
  std::uint64_t dropped_input_segments() const { return context_.dropped_input_segments; }

  // Number of requests that arrived behind the last response of an idle connection.
  std::uint64_t crossed_ends() const { return context_.crossed_ends.count(); }

  // How late the event loop reads what clients send.
  const EventLoopLag& event_loop_lag() const { return context_.event_loop_lag; }

  // Takes up again what an exception has interrupted: accepting, and reading of sessions. Returns
  // the number of these.
  std::size_t resume();

 private:
  void on_session_closed(ClientId client) override;
  void on_session_idle() override;
  std::size_t allocated_input_bytes() const override;

  void accept();
  void ensure_receive_buffer();
  void on_accepted(boost::asio::ip::tcp::socket socket);
  void start_session(boost::asio::ip::tcp::socket socket);
  bool evict_if_over_limit();
  void enforce_timeouts();

  Timers& timers_;
  const std::size_t max_clients_;
  ClientSessionContext context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ConnectionAcceptor connections_;
  SessionTable sessions_;
  ClientId last_client_ = 0;
  bool is_accepting_ = false;
  bool is_receive_buffer_set_ = false;
};

}  // namespace quota_gateway::net
