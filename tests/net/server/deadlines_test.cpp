// That clients are answered before their deadlines.
#include <gtest/gtest.h>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using RequestDeadlines = GatewayServerTest;
using RequestDeadlineCost = LongLatencyObjectiveTest;

TEST_F(RequestDeadlines, AnswersBeforeTheDeadlineWhenTheEndpointIsSilent) {
  server1.on_request = [](Peer&, const Request_&) {};
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  client.send(post("a", "400m"));
  EXPECT_EQ(status(client), 504);  // not 503, since it may have run
  ASSERT_TRUE(rig.until([&] { return server1.peers.at(0)->over; }));
  client.send(
      get("b", "X-Second-Try: 1\r\n"));  // idempotent, with its latency objective as its time
  EXPECT_EQ(status(client), 503);
  EXPECT_EQ(server1.requests.size(), 2U);
}

TEST_F(RequestDeadlineCost, EndsATricklingResponseAtTheDeadline) {
  server1.on_request = [](Peer& connection, const Request_&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  };
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  const Micros sent_at = Clock().now();
  client.send(post("a", "600m"));
  Micros last_byte_at = sent_at;
  // A byte every 10 ms, in a chunk of its own: the response never pauses and never is complete.
  ASSERT_TRUE(rig.until([&] {
    const bool is_due = Clock().now() - last_byte_at > 10'000;
    if (is_due && !server1.requests.empty() && !server1.peers[0]->over) {
      server1.peers[0]->write("1\r\nx\r\n");
      last_byte_at = Clock().now();
    }
    return client.socket.available() > 0;
  }));
  EXPECT_LT(Clock().now() - sent_at, 600'000);
  EXPECT_EQ(status(client), 504);
  EXPECT_EQ(server1.requests.size(), 1U);
  ASSERT_TRUE(rig.until([&] { return server1.peers.at(0)->over; }));
}

}  // namespace
}  // namespace quota_gateway::net::testing
