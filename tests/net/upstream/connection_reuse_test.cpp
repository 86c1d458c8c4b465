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
