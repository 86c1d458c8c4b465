// Fixtures for tests of a complete gateway in one event loop with its clients, servers, counter and
// discovery.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "net/server/gateway_server.hpp"
#include "support/loopback.hpp"

namespace quota_gateway::net::testing {

class GatewayServerTest : public ::testing::Test {
 protected:
  // Of the next response; 0 if none arrives.
  int status(Client& client) {
    const auto answer = client.receive();
    return answer ? int(answer->result_int()) : 0;
  }
  Rig rig;
  FakeServer server1{rig.io};
  FakeServer server2{rig.io};
  FakeServer server3{rig.io};
  FakeServer server4{rig.io};
};

// Requests may wait long for an endpoint.
class LongLatencyObjectiveTest : public GatewayServerTest {
 protected:
  LongLatencyObjectiveTest() {
    for (ClassSettings& class_settings : rig.config.settings.classes) {
      class_settings.latency_objective = 3'000'000;
    }
  }
};

// One server that listens at many addresses, each a listed endpoint: 127.0.0.0/8 is this machine.
class ManyEndpoints : public FakeServer {
 public:
  explicit ManyEndpoints(asio::io_context& io) : FakeServer(io, {asio::ip::address_v4::any(), 0}) {}
  tcp::endpoint at(int place) const {
    return {asio::ip::address_v4(std::uint32_t(0x7f010000 + place)), address().port()};
  }
  ListedEndpoint member(const std::string& id, int place) const {
    ListedEndpoint listed = testing::member(id, *this);
    listed.address = at(place);
    return listed;
  }
  std::string entry(const std::string& id, int place, const std::string& phase = "up") const {
    return testing::entry(
        id, at(place).address().to_string() + ":" + std::to_string(at(place).port()), phase);
  }
};

class ManyEndpointsTest : public GatewayServerTest {
 protected:
  std::uint64_t figure(const std::string& name) {
    const std::string all = rig.driver->render_stats();
    const std::string key = "app." + name + "=";
    return std::stoull(all.substr(all.find(key) + key.size()));
  }
  ManyEndpoints servers{rig.io};
};

}  // namespace quota_gateway::net::testing
