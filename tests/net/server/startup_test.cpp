// When a gateway that has just started is healthy and forwards requests.
#include <gtest/gtest.h>

#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerStartup = GatewayServerTest;
using PatientServerStartup = LongLatencyObjectiveTest;

constexpr const char* kHealthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

TEST_F(ServerStartup, IsHealthyOnceDiscoveryHasAnswered) {
  rig.start();
  Client client = rig.client();
  int health_status = 503;  // until discovery has answered
  for (int request = 0; request < 1000 && health_status == 503; ++request) {
    client.send(kHealthRequest);
    health_status = status(client);
  }
  EXPECT_EQ(health_status, 200);
}

// The persisted list may name a server that has long been draining; and load balancers must not
// send clients here before the list is current.
TEST_F(PatientServerStartup, ForwardsNothingByThePersistedListBeforeDiscoveryResponds) {
  rig.know(member("s1", server1));
  rig.discovery.mute = true;
  rig.start();
  Client client = rig.client();
  Client load_balancer = rig.client();
  client.send(get("a"));
  load_balancer.send(kHealthRequest);
  EXPECT_EQ(status(load_balancer), 503);
  EXPECT_FALSE(rig.driver->is_ready());
  ASSERT_TRUE(rig.until([&] { return rig.discovery.asked.size() == 1; }));
  EXPECT_TRUE(server1.requests.empty());
  rig.discovery.mute = false;
  rig.discovery.first =
      list(42, false, entry("s1", server1.text(), "draining") + "," + entry("s2", server2.text()));
  EXPECT_EQ(status(client), 200);
  EXPECT_TRUE(server1.requests.empty());
  EXPECT_EQ(server2.requests.size(), 1U);
  load_balancer.send(kHealthRequest);
  EXPECT_EQ(status(load_balancer), 200);
}

TEST_F(PatientServerStartup, ServesByThePersistedListWithoutDiscovery) {
  for (const bool silent : {true, false}) {
    Rig alone;
    FakeServer server(alone.io);
    alone.know(member("s1", server));
    if (silent) {
      alone.discovery.mute = true;
    } else {
      alone.discovery.stop();
    }
    alone.start();
    ASSERT_TRUE(alone.until([&] { return alone.driver->is_ready(); }));
    Client client = alone.client();
    client.send(kHealthRequest);
    EXPECT_EQ(status(client), 200);
    client.send(get("a"));
    EXPECT_EQ(status(client), 200);
    EXPECT_EQ(server.requests.size(), 1U);
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
