// Fixtures for tests of a complete gateway that runs in one event loop with its clients, servers,
// counter and discovery.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {

class GatewayServerTest : public ::testing::Test {
 protected:
  // The status of the next response; 0 if none arrives.
  static int status(Client& client);

  GatewayTestBed test_bed;
  FakeServer server1{test_bed.io};
  FakeServer server2{test_bed.io};
  FakeServer server3{test_bed.io};
  FakeServer server4{test_bed.io};
};

// With a latency objective of 3 s, so that requests may wait long for an endpoint.
class LongLatencyObjectiveTest : public GatewayServerTest {
 protected:
  LongLatencyObjectiveTest();
};

// One server that stands for many endpoints: it listens at all addresses of this machine, and each
// endpoint is listed with another address of the loopback network 127.0.0.0/8.
class ManyEndpoints : public FakeServer {
 public:
  explicit ManyEndpoints(asio::io_context& io) : FakeServer(io, {asio::ip::address_v4::any(), 0}) {}

  // The address of the endpoint with that number.
  tcp::endpoint address_of(int number) const;
  ListedEndpoint listed_endpoint(const std::string& id, int number) const;
  std::string entry_json(const std::string& id, int number, const std::string& phase = "up") const;
};

class ManyEndpointsTest : public GatewayServerTest {
 protected:
  // The value of a metric of the gateway, by its name without "app.".
  std::uint64_t metric(const std::string& name);

  ManyEndpoints servers{test_bed.io};
};

}  // namespace quota_gateway::net::testing
