// A connection that a fake accepted, and how fakes listen. Each fake derives its own connections,
// which turn received bytes into calls of the fake. All calls come from the fake's event loop.
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

// Of the messages themselves; what TCP and IP add to each write is not included.
struct Traffic {
  // Bytes.
  std::uint64_t sent = 0;
  // Bytes.
  std::uint64_t received = 0;
  std::uint64_t writes = 0;
};

class FakeConnection;
// The connections of a fake that are open, in no lasting order.
using FakeConnections = std::vector<std::shared_ptr<FakeConnection>>;

// The fake owns an open connection through its FakeConnections. Once closed, the connection does
// not touch anything of the fake, which may be gone while handlers are still pending.
class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  using Buffer = std::shared_ptr<const std::string>;

  FakeConnection(boost::asio::ip::tcp::socket socket, FakeConnections& open_connections,
                 Traffic& traffic);
  virtual ~FakeConnection() = default;

  // Begins to read. Call it once, on an object that a shared_ptr owns.
  void start();
  // Queues the bytes; does nothing once closed.
  void send(Buffer buffer);
  void send(std::string text);
  // Closes with a TCP reset; bytes that are still queued are dropped.
  void reset();
  void close();

  bool is_open() const { return is_open_; }
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  // When send() was last called, by steady_now(); 0 before the first call.
  Micros last_send_at() const { return last_send_at_; }
  // By steady_now(); when it was accepted, until something is received.
  Micros last_received_at() const { return last_received_at_; }

 protected:
  // Removes from `received` what it has handled. May send, reset and close.
  virtual void on_received(std::string& received) = 0;
  virtual void on_closed() {}

 private:
  void read();
  void on_read(boost::system::error_code ec, std::size_t size);
  void write();
  void on_written(boost::system::error_code ec, std::size_t size);

  boost::asio::ip::tcp::socket socket_;
  FakeConnections& open_connections_;
  Traffic& traffic_;
  // Its place in open_connections_.
  std::size_t index_ = 0;
  std::size_t unsent_bytes_ = 0;
  // Bytes of the first queued buffer that are sent.
  std::size_t first_buffer_sent_ = 0;
  std::deque<Buffer> queue_;
  std::string received_;
  std::array<char, 1024> read_buffer_{};
  Micros last_received_at_;
  Micros last_send_at_ = 0;
  bool is_open_ = true;
  bool is_writing_ = false;
};

void reset_all(FakeConnections& connections);

// Throws std::invalid_argument unless it is a loopback address: the scale tests must not be
// reachable from outside.
boost::asio::ip::tcp::acceptor listen_on_loopback(boost::asio::io_context& io,
                                                  const boost::asio::ip::tcp::endpoint& address);

// Hands each accepted socket over, for as long as `acceptor` is open; it must stay where it is.
template <typename OnAccepted>
void accept_all(boost::asio::ip::tcp::acceptor& acceptor, OnAccepted on_accepted) {
  acceptor.async_accept(
      [&acceptor, on_accepted](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        // Accepting ends at any error. If it went on without free descriptors it would fail again
        // at once and keep the loop busy for ever; whoever sizes a run checks the descriptors
        // before.
        if (ec || !acceptor.is_open()) {
          return;
        }
        on_accepted(std::move(socket));
        accept_all(acceptor, on_accepted);
      });
}

// "ADDRESS:PORT".
std::string to_host_port(const boost::asio::ip::tcp::endpoint& address);

}  // namespace quota_gateway::scale
