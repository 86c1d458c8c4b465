// Client connections: parses requests, answers /_health, writes answers.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/client/request_validator.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// A complete response to a client.
struct ClientResponse {
  int status = 502;
  std::optional<Micros> retry_after;  // Retry-After, at least 1 ms is sent
  std::string body;
};

// Identifies one client connection; never used twice.
using ClientId = std::uint64_t;

// What the listener reports. Every callback runs on the event loop. A callback may call any
// function of the listener, except on_request, which must not call one for the client that it was
// given.
struct ClientListenerCallbacks {
  // A valid request has arrived. Returns the id under which the other callbacks name the request,
  // or nullopt to reject it because a request with its trace id is open. Of a long body only the
  // beginning may be there; the rest comes by request_body_piece().
  std::function<std::optional<std::uint64_t>(ClientId client, ClientRequest)> on_request;
  // The client of an unanswered or partly answered request has disconnected.
  std::function<void(std::uint64_t request)> on_client_disconnected;
  // The piece that request_body_piece() asked for.
  std::function<void(std::uint64_t request, const std::string& piece, bool last)> on_body_piece;
  // The last piece of the response has been written to the socket.
  std::function<void(std::uint64_t request)> on_piece_sent;
  // Whether load balancers may send clients here, as /_health says.
  std::function<bool()> is_serving = [] { return true; };
};

class ClientListener {
 public:
  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 const Settings& settings, std::size_t most_clients,
                 ClientListenerCallbacks callbacks);
  ~ClientListener();

  // Opens the clients' address, or goes on with a socket that listens there; nobody is let in
  // before open().
  void listen(const boost::asio::ip::tcp::endpoint& at);
  void adopt(const boost::asio::ip::tcp::endpoint& at, int listening);
  int listening_socket() { return acceptor_.native_handle(); }
  void start_accepting();
  bool is_accepting() const { return open_; }
  // Leaves new clients to the process that listens on the same socket, and sends those we have
  // there with their next answer.
  void hand_over_new_clients();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // The one answer to the request that the client waits for; nobody is there to hear it if it has
  // gone.
  void respond(ClientId client, ClientResponse response);
  // One that comes in pieces, each after the one before was told sent; of so many bytes, where that
  // is known.
  void begin_response(std::uint64_t client, std::optional<std::uint64_t> length, std::string piece);
  void send_body_piece(std::uint64_t client, std::string piece);
  void finish_response(std::uint64_t client);
  // Breaks it off, so that the client can tell.
  void abort_response(std::uint64_t client);
  // Asks for the next piece of the request's body.
  void request_body_piece(std::uint64_t client);
  // Closes connections between requests. New ones are taken to the end; each has one answer.
  void drain();
  // Nothing is being read, held, written or still on its way to who reads it, nor lies unread, also
  // of those that nobody has let in yet.
  bool is_idle();

 private:
  class ClientSession;
  void accept();
  std::shared_ptr<ClientSession> find(std::uint64_t client) const;
  bool evict();
  void trim_idle();
  void erase(std::uint64_t client);
  std::size_t ahead() const;  // bytes read of what clients sent ahead
  void sweep();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const Settings& settings_;
  const std::size_t most_clients_;
  ClientListenerCallbacks callbacks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> sessions_;
  std::uint64_t last_ = 0;
  bool draining_ = false;
  bool open_ = false;     // new clients are let in
  bool leaving_ = false;  // they, and those we have, go to another process
  bool accepting_ = false;
  std::array<char, 64 << 10>
      scratch_;  // what is being read, and what clients send that nobody reads
};

}  // namespace quota_gateway::net
