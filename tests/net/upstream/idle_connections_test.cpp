// Tests lookups of idle connections by server and by idle time.
#include "net/upstream/idle_connections.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace quota_gateway::net::testing {
namespace {

class IdleConnectionsTest : public ::testing::Test {
 protected:
  UpstreamConnectionPtr add(const std::string& server, Micros idle_since) {
    auto connection = std::make_shared<UpstreamConnection>(io);
    connection->server = server;
    connection->idle_since = idle_since;
    idle.add(connection);
    return connection;
  }

  boost::asio::io_context io;
  IdleConnections idle;
};

using Connections = std::vector<UpstreamConnectionPtr>;

TEST_F(IdleConnectionsTest, FindsTheMostRecentOneThatHasBeenIdleLongEnough) {
  const auto older = add("s", 10);
  const auto newer = add("s", 20);
  EXPECT_EQ(idle.most_recent("s", 20), newer);
  EXPECT_EQ(idle.most_recent("s", 19), older);
  EXPECT_EQ(idle.most_recent("s", 9), nullptr);
  EXPECT_EQ(idle.most_recent("other", 20), nullptr);
}

TEST_F(IdleConnectionsTest, FindsTheOldestOfAllServers) {
  EXPECT_EQ(idle.oldest(), nullptr);
  add("a", 20);
  const auto oldest = add("b", 10);
  add("b", 30);
  EXPECT_EQ(idle.oldest(), oldest);
}

TEST_F(IdleConnectionsTest, ListsByServerAndByIdleTime) {
  const auto first = add("a", 10);
  const auto second = add("a", 20);
  add("b", 30);
  EXPECT_EQ(idle.to_server("a"), (Connections{first, second}));
  EXPECT_TRUE(idle.to_server("c").empty());
  EXPECT_EQ(idle.idle_since(20), (Connections{first, second}));
  EXPECT_TRUE(idle.idle_since(9).empty());
}

TEST_F(IdleConnectionsTest, RemovesOnlyTheGivenConnection) {
  const auto removed = add("s", 10);
  const auto kept = add("s", 20);
  idle.remove(*removed);
  idle.remove(*removed);
  EXPECT_EQ(idle.to_server("s"), Connections{kept});
  idle.remove(*kept);
  EXPECT_TRUE(idle.to_server("s").empty());
  EXPECT_EQ(idle.oldest(), nullptr);
}

}  // namespace
}  // namespace quota_gateway::net::testing
