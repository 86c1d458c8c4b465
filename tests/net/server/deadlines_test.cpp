// Clients are answered before their deadlines, also when an endpoint is silent or slow.
#include <gtest/gtest.h>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using RequestDeadlines = GatewayServerTest;
using RequestDeadlineCost = LongLatencyObjectiveTest;

TEST_F(RequestDeadlines, AnswersBeforeTheDeadlineWhenTheEndpointIsSilent) {
  server1.on_request = [](PeerConnection&, const HttpRequest&) {};
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  client.send(post_request("a", "400m"));
  EXPECT_EQ(status(client), 504);  // not 503, since the request may have run
  ASSERT_TRUE(test_bed.run_until([&] { return server1.peers.at(0)->closed; }));
  // Idempotent. A late response has no value, so the time limit is the latency objective.
  client.send(get_request("b", "X-Second-Try: 1\r\n"));
  EXPECT_EQ(status(client), 503);
  EXPECT_EQ(server1.requests.size(), 2U);
}

TEST_F(RequestDeadlineCost, EndsATricklingResponseAtTheDeadline) {
  server1.on_request = [](PeerConnection& connection, const HttpRequest&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  const Micros sent_at = Clock().now();
  client.send(post_request("a", "600m"));
  Micros last_byte_at = sent_at;
  // Sends a byte every 10 ms in a separate chunk, so that the response never pauses and is never
  // complete.
  ASSERT_TRUE(test_bed.run_until([&] {
    const bool is_due = Clock().now() - last_byte_at > 10'000;
    if (is_due && !server1.requests.empty() && !server1.peers[0]->closed) {
      server1.peers[0]->write("1\r\nx\r\n");
      last_byte_at = Clock().now();
    }
    return client.socket.available() > 0;
  }));
  EXPECT_LT(Clock().now() - sent_at, 600'000);
  EXPECT_EQ(status(client), 504);
  EXPECT_EQ(server1.requests.size(), 1U);
  ASSERT_TRUE(test_bed.run_until([&] { return server1.peers.at(0)->closed; }));
}

}  // namespace
}  // namespace quota_gateway::net::testing
