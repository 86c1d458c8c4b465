// Accepts client connections, bounds how many there are, and passes responses to the right one.
// Owns the listening socket and the client sessions. Used by the gateway server, on its event loop.
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
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class ClientListener final : private ClientSessionOwner {
 public:
  // `io`, `timers`, `clock` and `settings` must outlive the listener; `settings` may change.
  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 const Settings& settings, std::size_t max_clients,
                 ClientListenerCallbacks callbacks);

  // Opens `address`. Clients may connect, but none is accepted before start_accepting(). Throws
  // boost::system::system_error if the address can't be opened.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  // In place of listen(): uses a socket that listens at `address` already. Takes over ownership.
  void adopt(const boost::asio::ip::tcp::endpoint& address, int listening_socket);
  int listening_socket() { return acceptor_.native_handle(); }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  void start_accepting();
  bool is_accepting() const { return is_accepting_; }
  // Leaves new clients to another process that listens on the same socket, and closes each present
  // connection with its next response, so that its client connects to that process.
  void hand_over_new_clients();

  // Each of the following has no effect if the client has disconnected.
  //
  // The complete response to the request that the client waits for.
  void respond(ClientId client, const ClientResponse& response);
  // Begins a 200 response whose body is streamed, with its first piece, which may be empty.
  // `content_length` counts the whole body, where that is known. on_piece_sent follows; only then
  // may send_body_piece() or finish_response() be called, and so on for each piece.
  void begin_response(ClientId client, std::optional<std::uint64_t> content_length,
                      const std::string& piece);
  void send_body_piece(ClientId client, std::string piece);
  void finish_response(ClientId client);
  // Resets the connection amid a streamed response, so that the client notices.
  void abort_response(ClientId client);
  // Asks for the next piece of the request's body; on_body_piece follows, never from within.
  void request_body_piece(ClientId client);

  // Closes connections between requests, and each other one with its next response. Goes on
  // accepting.
  void drain();
  // Whether nothing is being read, awaited, written, or still on its way to its reader, and nothing
  // lies unread, also of clients that are not accepted yet.
  bool is_idle();

 private:
  void on_session_closed(ClientId client) override;
  void on_session_idle() override;
  std::size_t buffered_bytes() const override;

  void accept();
  void on_accepted(boost::system::error_code ec, boost::asio::ip::tcp::socket socket);
  void start_session(boost::asio::ip::tcp::socket socket);
  bool make_room();
  void enforce_timeouts();

  Timers& timers_;
  const std::size_t max_clients_;
  ClientSessionContext context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  SessionTable sessions_;
  ClientId last_client_ = 0;
  bool is_accepting_ = false;
  bool accept_pending_ = false;
};

}  // namespace quota_gateway::net
