// A connection that a fake server accepted, and functions to listen and accept. Each fake derives
// its own connection class, which turns received bytes into calls of the fake. All calls are made
// on the fake's event loop.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Traffic of the messages themselves, without the overhead of TCP and IP.
struct Traffic {
  // In bytes.
  std::uint64_t sent = 0;
  // In bytes.
  std::uint64_t received = 0;
  std::uint64_t writes = 0;
};

class FakeConnection;
// The open connections of a fake, in no particular order.
using FakeConnections = std::vector<std::shared_ptr<FakeConnection>>;

// The fake owns an open connection through its FakeConnections. A closed connection does not access
// the fake, which may be destroyed while handlers are still pending.
class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  using Buffer = std::shared_ptr<const std::string>;

  FakeConnection(boost::asio::ip::tcp::socket socket, FakeConnections& open_connections,
                 Traffic& traffic);
  virtual ~FakeConnection() = default;

  // Starts reading. Must be called once, on an object that a shared_ptr owns.
  void start();
  // Queues the bytes; does nothing if the connection is closed.
  void send(Buffer buffer);
  void send(std::string text);
  // Closes the connection with a TCP reset and discards queued bytes.
  void reset();
  void close();

  bool is_open() const { return is_open_; }
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  // Time of the last call of send(), by steady_now(); 0 before the first call.
  Micros last_send_at() const { return last_send_at_; }
  // Time by steady_now() at which bytes were last received, or at which the connection was accepted
  // if none were.
  Micros last_received_at() const { return last_received_at_; }

 protected:
  // Handles received bytes and removes them from `received`. May call send(), reset() and close().
  virtual void on_received(std::string& received) = 0;
  // Called when the connection closes.
  virtual void on_closed() {}

 private:
  void read();
  void on_read(boost::system::error_code ec, std::size_t size);
  void write();
  void on_written(boost::system::error_code ec, std::size_t size);

  boost::asio::ip::tcp::socket socket_;
  FakeConnections& open_connections_;
  Traffic& traffic_;
  // Position in open_connections_.
  std::size_t index_ = 0;
  std::size_t unsent_bytes_ = 0;
  // Bytes of the first queued buffer that have been sent.
  std::size_t first_buffer_sent_ = 0;
  std::deque<Buffer> queue_;
  std::string received_;
  std::array<char, 1024> read_buffer_{};
  Micros last_received_at_;
  Micros last_send_at_ = 0;
  bool is_open_ = true;
  bool is_writing_ = false;
};

// Resets all connections.
void reset_all(FakeConnections& connections);

// Opens a listening socket. Throws std::invalid_argument unless `address` is a loopback address:
// the scale tests must not be reachable from other machines.
boost::asio::ip::tcp::acceptor listen_on_loopback(boost::asio::io_context& io,
                                                  const boost::asio::ip::tcp::endpoint& address);

// Passes each accepted socket to `on_accepted` while `acceptor` is open. `acceptor` must not be
// moved.
template <typename OnAccepted>
void accept_all(boost::asio::ip::tcp::acceptor& acceptor, OnAccepted on_accepted) {
  acceptor.async_accept(
      [&acceptor, on_accepted](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        // Accepting ends at any error. Without free descriptors, another attempt would fail
        // immediately and keep the event loop busy forever; the descriptors are checked before a
        // run starts.
        if (ec || !acceptor.is_open()) {
          return;
        }
        on_accepted(std::move(socket));
        accept_all(acceptor, on_accepted);
      });
}

// Formats the address as "ADDRESS:PORT".
std::string to_host_port(const boost::asio::ip::tcp::endpoint& address);

}  // namespace quota_gateway::scale
