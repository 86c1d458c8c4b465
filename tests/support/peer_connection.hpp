// What a listener of the tests accepts connections with, and a connection that it has accepted.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quota_gateway::net::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// An accepted connection. Its owner consumes what it receives.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  // Called with all input that has not been consumed; consumes by erasing.
  using InputHandler = std::function<void(PeerConnection&, std::string&)>;

  PeerConnection(tcp::socket accepted, InputHandler on_input);

  void read();
  // Blocks until all is written; errors are ignored.
  void write(const std::string& text);
  void close();
  void reset();

  tcp::socket socket;
  std::string pending;  // received and not consumed
  bool closed = false;  // by either side
  int requests = 0;

 private:
  InputHandler on_input_;
  std::array<char, 16384> chunk_{};
};

// Listens on 127.0.0.1 and keeps all connections that it has accepted.
class Listener {
 public:
  explicit Listener(asio::io_context& io,
                    const tcp::endpoint& local_address = {asio::ip::address_v4::loopback(), 0});
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  virtual ~Listener() = default;

  tcp::endpoint address() const { return acceptor.local_endpoint(); }
  // The address as configuration and endpoint lists write it.
  std::string host_port() const { return "127.0.0.1:" + std::to_string(address().port()); }
  // Resets all connections and stops listening.
  void stop();

  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<PeerConnection>> peers;

 protected:
  // `pending`: all input of the connection that has not been consumed.
  virtual void on_input(PeerConnection& peer, std::string& pending) = 0;

 private:
  void accept();
};

}  // namespace quota_gateway::net::testing
