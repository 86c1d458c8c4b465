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

struct Answer {
  int status = 502;
  Micros retry_after = 0;  // 0: none
  std::string body;
};

struct ClientEvents {
  // Takes a request of a client and returns the number under which the others tell of it; 0: not
  // taken, since a request of that id is open. Of a long body only the beginning may have come; the
  // rest comes by pull().
  std::function<std::uint64_t(std::uint64_t client, ClientRequest)> took;
  std::function<void(std::uint64_t request)> gone;
  std::function<void(std::uint64_t request, const std::string& piece, bool last)> body;
  // The piece of the answer that was passed last has left.
  std::function<void(std::uint64_t request)> sent;
  // Whether those before us may take us in, as /_health says.
  std::function<bool()> serves = [] { return true; };
};

class ClientListener {
 public:
  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 const Settings& settings, std::size_t most_clients, ClientEvents events);
  ~ClientListener();

  // Opens the clients' address, or goes on with a socket that listens there; nobody is let in
  // before open().
  void listen(const boost::asio::ip::tcp::endpoint& at);
  void adopt(const boost::asio::ip::tcp::endpoint& at, int listening);
  int listening() { return acceptor_.native_handle(); }
  void open();
  bool is_open() const { return open_; }
  // Leaves new clients to the process that listens on the same socket, and sends those we have
  // there with their next answer.
  void leave();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // The one answer to the request that the client waits for; nobody is there to hear it if it has
  // gone.
  void answer(std::uint64_t client, Answer answer);
  // One that comes in pieces, each after the one before was told sent; of so many bytes, where that
  // is known.
  void begin(std::uint64_t client, std::optional<std::uint64_t> length, std::string piece);
  void pass(std::uint64_t client, std::string piece);
  void finish(std::uint64_t client);
  // Breaks it off, so that the client can tell.
  void cut(std::uint64_t client);
  // Asks for the next piece of the request's body.
  void pull(std::uint64_t client);
  // Closes connections between requests. New ones are taken to the end; each has one answer.
  void drain();
  // Nothing is being read, held, written or still on its way to who reads it, nor lies unread, also
  // of those that nobody has let in yet.
  bool quiet();

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
  ClientEvents events_;
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
