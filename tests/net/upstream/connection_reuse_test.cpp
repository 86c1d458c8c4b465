// Which connections ConnectionPool reuses, and how many it opens.
#include <gtest/gtest.h>

#include "connection_pool_fixture.hpp"
#include "net/upstream/connection_pool.hpp"

namespace quota_gateway::net::testing {
namespace {

using ConnectionReuseTest = ConnectionPoolFixture;

TEST_F(ConnectionReuseTest, DoesNotReuseAConnectionRightAfterAResponse) {
  // Bytes that arrive a little later would be taken for the response to the next request.
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
  // The close has arrived but was not read yet. A request that is written all the same ends as a
  // reset that may have run, so that one with an idempotency key isn't retried elsewhere.
  make_pool();
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  server.peers[0]->close();  // no turn of the loop between this and the send
  EXPECT_EQ(run_attempt(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2U);
  EXPECT_EQ(server.requests.size(), 2U);
}

TEST_F(ConnectionReuseTest, ClosesIdleConnectionsBeforeTheServersLimit) {
  ConnectionPoolLimits limits = immediate_reuse();
  limits.server_idle_timeout = 500'000;
  make_pool(limits);
  ASSERT_EQ(run_attempt(1).outcome, Outcome::kOk);
  EXPECT_TRUE(is_closed(0));
}

TEST_F(ConnectionReuseTest, ShortensIdleReuseAfterAReset) {
  // A request on a connection that was closed without notice while idle is lost. After one such
  // reset the bound is 100 ms, far below the 6 s that it began with, so a connection that was idle
  // for longer is closed unused.
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
