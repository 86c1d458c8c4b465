// Fixtures for tests of a complete gateway in one event loop with its clients, servers, counter and
// discovery.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {

class GatewayServerTest : public ::testing::Test {
 protected:
  // Of the next response; 0 if none arrives.
  static int status(Client& client);

  GatewayTestBed test_bed;
  FakeServer server1{test_bed.io};
  FakeServer server2{test_bed.io};
  FakeServer server3{test_bed.io};
  FakeServer server4{test_bed.io};
};

// Requests may wait long for an endpoint.
class LongLatencyObjectiveTest : public GatewayServerTest {
 protected:
  LongLatencyObjectiveTest();
};

// One server that listens at many addresses, each a listed endpoint: 127.0.0.0/8 is this machine.
class ManyEndpoints : public FakeServer {
 public:
  explicit ManyEndpoints(asio::io_context& io) : FakeServer(io, {asio::ip::address_v4::any(), 0}) {}

  // The address of the endpoint with that number.
  tcp::endpoint at(int number) const;
  ListedEndpoint listed_endpoint(const std::string& id, int number) const;
  std::string entry_json(const std::string& id, int number, const std::string& phase = "up") const;
};

class ManyEndpointsTest : public GatewayServerTest {
 protected:
  // Of the gateway's statistics, by its name without "app.".
  std::uint64_t figure(const std::string& name);

  ManyEndpoints servers{test_bed.io};
};

}  // namespace quota_gateway::net::testing
