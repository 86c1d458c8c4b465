// When a gateway that has just started is healthy and forwards requests.
#include <gtest/gtest.h>

#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerStartup = GatewayServerTest;
using ServerStartupWithLongObjective = LongLatencyObjectiveTest;

constexpr const char* kHealthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

TEST_F(ServerStartup, IsHealthyOnceDiscoveryHasAnswered) {
  test_bed.start();
  Client client = test_bed.client();
  int health_status = 503;  // until discovery has responded
  for (int request = 0; request < 1000 && health_status == 503; ++request) {
    client.send(kHealthRequest);
    health_status = status(client);
  }
  EXPECT_EQ(health_status, 200);
}

// The persisted list may contain a server that has been draining for a long time, and load
// balancers must not send clients to the gateway before its list is current.
TEST_F(ServerStartupWithLongObjective, ForwardsNothingFromThePersistedListBeforeDiscoveryResponds) {
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

TEST_F(ServerStartupWithLongObjective, ServesFromThePersistedListWithoutDiscovery) {
  for (const bool silent : {true, false}) {
    GatewayTestBed standalone_bed;
    FakeServer server(standalone_bed.io);
    standalone_bed.add_persisted_endpoint(listed_endpoint("s1", server));
    if (silent) {
      standalone_bed.discovery.unresponsive = true;
    } else {
      standalone_bed.discovery.stop();
    }
    standalone_bed.start();
    ASSERT_TRUE(standalone_bed.run_until([&] { return standalone_bed.server->is_ready(); }));
    Client client = standalone_bed.client();
    client.send(kHealthRequest);
    EXPECT_EQ(status(client), 200);
    client.send(get_request("a"));
    EXPECT_EQ(status(client), 200);
    EXPECT_EQ(server.requests.size(), 1U);
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
