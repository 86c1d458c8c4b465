// Tests which connections ConnectionPool reuses, and how many it opens.
#include <gtest/gtest.h>

#include "connection_pool_fixture.hpp"
#include "net/upstream/connection_pool.hpp"

namespace quota_gateway::net::testing {
namespace {

using ConnectionReuseTest = ConnectionPoolFixture;

TEST_F(ConnectionReuseTest, DoesNotReuseAConnectionRightAfterAResponse) {
  // On a reused connection, trailing bytes that arrive shortly after a response would be parsed as
  // the response to the next request.
  ConnectionPoolLimits limits;
  limits.reuse_delay = 10'000'000;
  make_pool(limits);
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  ASSERT_EQ(run_attempt(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2U);
  server.peers[0]->write("noise");
  EXPECT_TRUE(is_closed(0));
}

// Guards against an idle connection that is closed for the bytes of its own response: they are
// there before the wait for them begins, and the event loop reports them once more after they were
// read.
TEST_F(ConnectionReuseTest, KeepsAConnectionWhoseResponseWasThereBeforeTheWaitForIt) {
  constexpr Micros kTimeForTheReport = 50'000;
  tcp::acceptor listener(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  on_request_written = [&] {
    listener.accept(peer);
    asio::write(peer, asio::buffer(http_response("200 OK", "", "x")));
  };
  make_pool();
  endpoint_list.endpoints[0].address = listener.local_endpoint();
  pool().update(endpoint_list);
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  const Micros end = clock.now() + kTimeForTheReport;
  ASSERT_TRUE(run_until(io, [&] { return clock.now() >= end; }));
  EXPECT_EQ(pool().connection_counts().idle, 1U);
}

// Guards against a server whose second responses reach other requests again and again: bytes that
// no request awaits show that its connections must not be reused.
TEST_F(ConnectionReuseTest, ReusesNoConnectionToAServerThatHasRespondedTwice) {
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.peers[0]->write(http_response("200 OK", "", "again"));
  ASSERT_TRUE(is_closed(0));
  for (std::uint64_t number = 2; number <= 4; ++number) {
    EXPECT_EQ(run_attempt(number).outcome, Outcome::kOk);
    EXPECT_EQ(server.peers.size(), number);
  }
}

// Guards against the same where the second response arrives with the first one.
TEST_F(ConnectionReuseTest, ReusesNoConnectionToAServerThatHasRespondedTwiceAtOnce) {
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.on_request = [](PeerConnection& peer, const HttpRequest&) {
    peer.write(http_response("200 OK", "", "x") + http_response("200 OK", "", "x"));
  };
  ASSERT_EQ(run_attempt(2).outcome, Outcome::kOk);
  ASSERT_TRUE(is_closed(0));
  respond_with(http_response("200 OK", "", "y"));
  EXPECT_EQ(run_attempt(3).outcome, Outcome::kOk);
  EXPECT_EQ(run_attempt(4).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 3U);
}

// Guards against the distrust of a process that no longer exists.
TEST_F(ConnectionReuseTest, ReusesConnectionsToAServerThatHasRestarted) {
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.peers[0]->write(http_response("200 OK", "", "again"));
  ASSERT_TRUE(is_closed(0));
  endpoint_list.endpoints[0].entry.started_at = clock.now();
  pool().update(endpoint_list);
  EXPECT_EQ(run_attempt(2).outcome, Outcome::kOk);
  EXPECT_EQ(run_attempt(3).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2U);
}

// Guards against a connection that hands each request the response to the one before it: a second
// response was taken for the response to request 2, whose own is late.
TEST_F(ConnectionReuseTest, ASecondResponseReachesOneRequestAtMost) {
  ConnectionPoolLimits limits;
  limits.reuse_delay = 0;
  make_pool(limits);
  const auto response = [](int number) {
    return http_response("200 OK", "", "response " + std::to_string(number));
  };
  server.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    switch (server.requests.size()) {
      case 1:
      case 2:
        return peer.write(response(1));
      case 3:
        server.peers[0]->write(response(2));
        return peer.write(response(3));
      default:
        return peer.write(response(4));
    }
  };
  ASSERT_EQ(run_attempt(1).body, "response 1");
  ASSERT_EQ(run_attempt(2).body, "response 1");  // cannot be told from its own
  EXPECT_EQ(run_attempt(3).body, "response 3");
  EXPECT_TRUE(is_closed(0));
  EXPECT_EQ(run_attempt(4).body, "response 4");
  EXPECT_EQ(run_attempt(5).body, "response 4");
  EXPECT_EQ(server.peers.size(), 4U);  // no connection is reused any more
}

// Guards against a second response that comes behind the response to the next request, on a
// connection that is reused early.
TEST_F(ConnectionReuseTest, ASecondResponseToAnEarlierRequestIsNoResponse) {
  ConnectionPoolLimits limits;
  limits.reuse_delay = 30'000;
  limits.early_reuse_delay = 0;
  make_pool(limits);
  respond_with(http_response("503 Service Unavailable", "X-Never-Ran: 1\r\n"));
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOverloaded);  // it holds few connections
  const Micros rested = clock.now() + 2 * limits.reuse_delay;
  ASSERT_TRUE(run_until(io, [&] { return clock.now() >= rested; }));
  respond_with(http_response("200 OK", "", "a"));
  ASSERT_EQ(run_attempt(2).body, "a");
  respond_with(http_response("200 OK", "", "b"));
  ASSERT_EQ(run_attempt(3).body, "b");
  respond_with(http_response("200 OK", "", "a"));
  EXPECT_EQ(run_attempt(4).outcome, Outcome::kReset);
  EXPECT_EQ(server.peers.size(), 1U);
  respond_with(http_response("200 OK", "", "c"));
  EXPECT_EQ(run_attempt(5).body, "c");
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(ConnectionReuseTest, ReusesAnIdleConnection) {
  make_pool();
  for (std::uint64_t number = 1; number <= 5; ++number) {
    EXPECT_EQ(run_attempt(number).outcome, Outcome::kOk);
  }
  EXPECT_EQ(server.peers.size(), 1U);
}

TEST_F(ConnectionReuseTest, DoesNotWriteToAConnectionThatTheServerClosed) {
  // The server's close has arrived but has not been read yet. A request that is written
  // nevertheless is reset and may have run, so one with an idempotency key would not be retried
  // elsewhere.
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.peers[0]->close();  // the event loop does not run before the next request is sent
  EXPECT_EQ(run_attempt(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2U);
  EXPECT_EQ(server.requests.size(), 2U);
}

TEST_F(ConnectionReuseTest, ClosesIdleConnectionsBeforeTheServersIdleTimeout) {
  ConnectionPoolLimits limits = immediate_reuse();
  limits.server_idle_timeout = 500'000;
  make_pool(limits);
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  EXPECT_TRUE(is_closed(0));
}

TEST_F(ConnectionReuseTest, ShortensIdleReuseAfterAReset) {
  // A request on an idle connection that was closed without notice is lost. One such reset lowers
  // the maximum idle time from 6 s to 100 ms, and connections that are idle for longer are closed.
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.on_request = [](PeerConnection& peer, const HttpRequest&) { peer.reset(); };
  ASSERT_EQ(run_attempt(2).outcome, Outcome::kReset);
  respond_with(http_response("200 OK", "", "x"));
  ASSERT_EQ(run_attempt(3).outcome, Outcome::kOk);
  EXPECT_TRUE(is_closed(server.peers.size() - 1));
  EXPECT_EQ(run_attempt(4).outcome, Outcome::kOk);
}

// Guards against an attempt that begins after its client has left, on an idle connection and on a
// new one.
TEST_F(ConnectionReuseTest, AnAttemptThatMayNotBeginIsNotSent) {
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  attempts_may_begin = false;
  EXPECT_EQ(run_attempt(2).outcome, Outcome::kNotSent);
  EXPECT_EQ(run_attempt(3).outcome, Outcome::kNotSent);
  attempts_may_begin = true;
  EXPECT_EQ(run_attempt(4).outcome, Outcome::kOk);
  EXPECT_EQ(server.requests.size(), 2U);
}

TEST_F(ConnectionReuseTest, HonorsConnectionClose) {
  respond_with(http_response("200 OK", "Connection: close\r\n", "x"));
  make_pool();
  EXPECT_EQ(run_attempt(1).outcome, Outcome::kOk);
  EXPECT_EQ(run_attempt(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(ConnectionReuseTest, LimitsTheNumberOfConnections) {
  server.on_request = [](PeerConnection&, const HttpRequest&) {};
  ConnectionPoolLimits limits = immediate_reuse();
  limits.max_connections = 2;
  make_pool(limits);
  send(1);
  send(2);
  EXPECT_EQ(run_attempt(3).outcome, Outcome::kNotSent);
}

}  // namespace
}  // namespace quota_gateway::net::testing
