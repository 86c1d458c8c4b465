// What a client session needs around it: an event loop, an owner, and a client at the other end of
// a connection over the loopback interface.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <vector>

#include "net/client/client_session_context.hpp"

namespace quota_gateway::net::testing {

// Both ends of one connection.
struct ConnectedSockets {
  explicit ConnectedSockets(boost::asio::io_context& io);

  boost::asio::ip::tcp::socket gateway;  // doesn't block
  boost::asio::ip::tcp::socket client;   // blocks
};

// Records what sessions report.
class FakeSessionOwner final : public ClientSessionOwner {
 public:
  void on_session_closed(ClientId client) override { closed_.push_back(client); }
  void on_session_idle() override {}
  std::size_t buffered_bytes() const override { return 0; }

  const std::vector<ClientId>& closed() const { return closed_; }

 private:
  std::vector<ClientId> closed_;
};

class ClientSessionTest : public ::testing::Test {
 protected:
  // Runs the event loop until `done`. False after a time that no healthy run comes near.
  bool run_until(const std::function<bool()>& done);

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  Settings settings;
  FakeSessionOwner owner;
  ClientSessionContext context{owner, timers, clock, settings, {}};
};

}  // namespace quota_gateway::net::testing
