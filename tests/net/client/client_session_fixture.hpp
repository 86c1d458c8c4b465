// Fixture for tests of client sessions: an event loop, a session owner, and a client that is
// connected over the loopback interface.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <vector>

#include "net/client/client_session_context.hpp"
#include "support/stated_memory.hpp"

namespace quota_gateway::net::testing {

// The sockets of both ends of one connection.
struct ConnectedSockets {
  explicit ConnectedSockets(boost::asio::io_context& io);

  boost::asio::ip::tcp::socket gateway;  // non-blocking
  boost::asio::ip::tcp::socket client;   // blocking
};

// Records which sessions report that they have closed.
class FakeSessionOwner final : public ClientSessionOwner {
 public:
  void on_session_closed(ClientId client) override { closed_.push_back(client); }
  void on_session_idle() override {}
  std::size_t allocated_input_bytes() const override { return 0; }

  const std::vector<ClientId>& closed() const { return closed_; }

 private:
  std::vector<ClientId> closed_;
};

// Base class for tests that run client sessions on an event loop.
class ClientSessionTest : public ::testing::Test {
 protected:
  // Runs the event loop until `done` returns true. Returns false after a timeout that is far above
  // the duration of a successful run.
  bool run_until(const std::function<bool()>& done);

  static constexpr std::size_t kMemoryLimit = 32 << 20;

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  Settings settings;
  FakeSessionOwner owner;
  StatedMemory process_memory;
  MemoryBudget memory{process_memory, kMemoryLimit};
  ClientSessionContext context{owner, timers, clock, settings, memory, {}};
};

}  // namespace quota_gateway::net::testing
