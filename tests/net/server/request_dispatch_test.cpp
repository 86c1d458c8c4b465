// How requests are forwarded, retried and cancelled by a complete gateway.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using RequestDispatch = GatewayServerTest;

TEST_F(RequestDispatch, ForwardsRequestsUnchangedOverOneClientConnection) {
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  for (int i = 0; i < 3; ++i) {
    client.send(post_request(prefixed_number("t", i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
    EXPECT_EQ(answer->body(), "/intro-request/00000000b4d65521?x=1");
  }
  EXPECT_EQ(server1.requests[2]["X-Trace-Id"], "t2");
  EXPECT_EQ(server1.requests[2].body(), "hello");
}

// Otherwise a server could have two requests with the same trace id in flight.
TEST_F(RequestDispatch, RejectsATraceIdThatIsInFlight) {
  std::shared_ptr<PeerConnection> held;
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    held = connection.shared_from_this();
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  Client duplicate = test_bed.client();
  client.send(get_request("a"));
  ASSERT_TRUE(test_bed.run_until([&] { return held != nullptr; }));
  duplicate.send(get_request("a"));
  EXPECT_EQ(status(duplicate), 409);
  EXPECT_TRUE(duplicate.wait_for_close());
  held->write(http_response("200 OK", "", "x"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(server1.requests.size(), 1U);
}

// A request that may have run is retried only at servers that share its idempotency key, which are
// those of the same cell.
TEST_F(RequestDispatch, RetriesARequestWithAnIdempotencyKeyWithinItsCell) {
  std::vector<std::string> cells;
  const auto serve = [&cells](const std::string& cell) {
    return [&cells, cell](PeerConnection& connection, const HttpRequest&) {
      cells.push_back(cell);
      if (cells.size() % 2 == 1) {
        return connection.reset();
      }
      connection.write(http_response("200 OK", "", "x"));
    };
  };
  server1.on_request = serve("one");
  server2.on_request = serve("one");
  server3.on_request = serve("two");
  server4.on_request = serve("two");
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1, 1));
  test_bed.add_persisted_endpoint(listed_endpoint("s2", server2, 1));
  test_bed.add_persisted_endpoint(listed_endpoint("s3", server3, 2));
  test_bed.add_persisted_endpoint(listed_endpoint("s4", server4, 2));
  test_bed.start();
  Client client = test_bed.client();
  for (int i = 0; i < 4; ++i) {
    client.send(post_request(prefixed_number("t", i)));
    EXPECT_EQ(status(client), 200);
    ASSERT_EQ(cells.size(), std::size_t(2 * i + 2));
    EXPECT_EQ(cells[cells.size() - 1], cells[cells.size() - 2]);
  }
}

TEST_F(RequestDispatch, FailsAResetRequestWhoseCellHasNoOtherEndpoint) {
  int attempts = 0;
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    ++attempts;
    connection.reset();
  };
  server2.on_request = server1.on_request;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1, 1));
  test_bed.add_persisted_endpoint(listed_endpoint("s2", server2, 2));
  test_bed.start();
  Client client = test_bed.client();
  client.send(post_request("a"));
  EXPECT_EQ(status(client), 502);
  EXPECT_EQ(attempts, 1);
}

// If the retry were not held, a request that only a few servers may run would fail while these are
// busy, with most of its time left.
TEST_F(RequestDispatch, ResetRequestWaitsForTheBusyEndpointOfItsCell) {
  std::shared_ptr<PeerConnection> first;
  std::shared_ptr<PeerConnection> second;
  int attempts = 0;
  const auto hold_two = [&](PeerConnection& connection, const HttpRequest& request) {
    ++attempts;
    if (attempts == 1) {
      first = connection.shared_from_this();
    } else if (attempts == 2) {
      second = connection.shared_from_this();
    } else {
      connection.write(http_response("200 OK", "", std::string(request.target())));
    }
  };
  server1.on_request = hold_two;
  server2.on_request = hold_two;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.add_persisted_endpoint(listed_endpoint("s2", server2));
  test_bed.start();
  Client first_client = test_bed.client();
  Client second_client = test_bed.client();
  first_client.send(post_request("a"));
  ASSERT_TRUE(test_bed.run_until([&] { return first != nullptr; }));
  second_client.send(post_request("b"));
  // Each server now has one request in flight, which is its concurrency limit.
  ASSERT_TRUE(test_bed.run_until([&] { return second != nullptr; }));
  first->reset();
  Client health = test_bed.client();
  health.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(status(health), 200);  // by now the gateway has noticed the reset
  second->write(http_response("200 OK", "", "b"));
  EXPECT_EQ(status(second_client), 200);
  EXPECT_EQ(status(first_client), 200);
  EXPECT_EQ(attempts, 3);
}

TEST_F(RequestDispatch, RetriesARequestThatNeverRanOnAnotherEndpoint) {
  int attempts = 0;
  const auto busy = [&](PeerConnection& connection, const HttpRequest&) {
    if (++attempts == 1) {
      return connection.write(http_response("503 Full", "X-Never-Ran: 1\r\n"));
    }
    connection.write(http_response("200 OK", "", "x"));
  };
  server1.on_request = busy;
  server2.on_request = busy;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1, 1));
  test_bed.add_persisted_endpoint(listed_endpoint("s2", server2, 2));
  test_bed.start();
  Client client = test_bed.client();
  client.send(post_request("a"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(attempts, 2);
}

TEST_F(RequestDispatch, CancelsTheAttemptOfADisconnectedClient) {
  server1.on_request = [](PeerConnection&, const HttpRequest&) {};
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  {
    Client client = test_bed.client();
    client.send(get_request("a"));
    ASSERT_TRUE(test_bed.run_until([&] { return server1.requests.size() == 1; }));
  }
  EXPECT_TRUE(test_bed.run_until([&] { return server1.peers.at(0)->closed; }));
  server1.on_request = [](PeerConnection& connection, const HttpRequest&) {
    connection.write(http_response("200 OK", "", "x"));
  };
  Client other = test_bed.client();
  other.send(get_request("b"));
  EXPECT_EQ(status(other), 200);
}

}  // namespace
}  // namespace quota_gateway::net::testing
