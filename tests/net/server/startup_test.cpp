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
  test_bed.start();
  Client client = test_bed.client();
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
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.discovery.unresponsive = true;
  test_bed.start();
  Client client = test_bed.client();
  Client load_balancer = test_bed.client();
  client.send(get_request("a"));
  load_balancer.send(kHealthRequest);
  EXPECT_EQ(status(load_balancer), 503);
  EXPECT_FALSE(test_bed.server->is_ready());
  ASSERT_TRUE(test_bed.run_until([&] { return test_bed.discovery.request_targets.size() == 1; }));
  EXPECT_TRUE(server1.requests.empty());
  test_bed.discovery.unresponsive = false;
  test_bed.discovery.initial_body = list_json(42, false,
                                              entry_json("s1", server1.host_port(), "draining") +
                                                  "," + entry_json("s2", server2.host_port()));
  EXPECT_EQ(status(client), 200);
  EXPECT_TRUE(server1.requests.empty());
  EXPECT_EQ(server2.requests.size(), 1U);
  load_balancer.send(kHealthRequest);
  EXPECT_EQ(status(load_balancer), 200);
}

TEST_F(PatientServerStartup, ServesByThePersistedListWithoutDiscovery) {
  for (const bool silent : {true, false}) {
    GatewayTestBed alone;
    FakeServer server(alone.io);
    alone.add_persisted_endpoint(listed_endpoint("s1", server));
    if (silent) {
      alone.discovery.unresponsive = true;
    } else {
      alone.discovery.stop();
    }
    alone.start();
    ASSERT_TRUE(alone.run_until([&] { return alone.server->is_ready(); }));
    Client client = alone.client();
    client.send(kHealthRequest);
    EXPECT_EQ(status(client), 200);
    client.send(get_request("a"));
    EXPECT_EQ(status(client), 200);
    EXPECT_EQ(server.requests.size(), 1U);
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
