// That clients are answered before their deadlines.
#include <gtest/gtest.h>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using RequestDeadlines = GatewayServerTest;
using RequestDeadlineCost = LongLatencyObjectiveTest;

TEST_F(RequestDeadlines, AnswersBeforeTheDeadlineWhenTheEndpointIsSilent) {
  // A silent server: the answer comes before the client's own time is up, once.
  server1.on_request = [](Peer&, const Request_&) {};
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  client.send(post("a", "400m"));
  EXPECT_EQ(status(client), 504);  // may have run: no refusal
  ASSERT_TRUE(rig.until([&] { return server1.peers.at(0)->over; }));
  client.send(get("b", "X-Second-Try: 1\r\n"));  // safe: the aim is all the time that it has
  EXPECT_EQ(status(client), 503);
  EXPECT_EQ(server1.requests.size(), 2U);
}

TEST_F(RequestDeadlineCost, EndsATricklingResponseAtTheDeadline) {
  // A byte every 10 ms, in a chunk of its own, so that it never is quiet and never whole.
  server1.on_request = [](Peer& connection, const Request_&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  };
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  const Micros asked = Clock().now();
  client.send(post("a", "600m"));
  Micros wrote = asked;
  ASSERT_TRUE(rig.until([&] {
    const bool due =
        Clock().now() - wrote > 10'000 && !server1.requests.empty() && !server1.peers[0]->over;
    if (due)
      server1.peers[0]->write("1\r\nx\r\n"), wrote = Clock().now();
    return client.socket.available() > 0;
  }));
  EXPECT_LT(Clock().now() - asked, 600'000);
  EXPECT_EQ(status(client), 504);
  EXPECT_EQ(server1.requests.size(), 1U);
  ASSERT_TRUE(rig.until([&] { return server1.peers.at(0)->over; }));
}

}  // namespace
}  // namespace quota_gateway::net::testing
