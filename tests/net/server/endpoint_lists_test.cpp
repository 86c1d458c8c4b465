// How endpoint lists, small and large, take effect in a gateway that serves requests.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerEndpointLists = ManyEndpointsTest;

TEST_F(ServerEndpointLists, AppliesChangesFromDiscovery) {
  rig.know(member("s1", server1));
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.asked.size() == 1; }));
  rig.discovery.tell(
      list(42, false, entry("s1", server1.text(), "draining") + "," + entry("s2", server2.text())));
  Client client = rig.client();
  // Until the change is taken in; from then on the server that drains gets nothing.
  for (int i = 0; server2.requests.empty() && i < 1000; ++i) {
    client.send(get(label("t", i)));
    EXPECT_EQ(status(client), 200);
  }
  const auto before = server1.requests.size();
  for (int i = 0; i < 10; ++i) {
    client.send(get(label("u", i)));
    EXPECT_EQ(status(client), 200);
  }
  EXPECT_EQ(server1.requests.size(), before);
}

TEST_F(ServerEndpointLists, AppliesALargePersistedListCompletelyBeforeForwarding) {
  // Guards against a fleet that is started at once and turns to the few servers that its list
  // begins with, and against being fit to serve before that.
  const int count = 5'000;
  for (int i = 0; i < count; ++i) {
    rig.know(servers.member(label("n", i), i));
  }
  rig.discovery.mute = true;
  rig.start();
  Client client = rig.client();
  Client gone = rig.client();
  client.send(get("a"));
  gone.send(get("b"));
  gone.socket.close();
  std::size_t turns = 0;
  ASSERT_TRUE(rig.until([&] {
    const auto listed = figure("targets");
    turns += listed > 0 && listed < std::uint64_t(count);
    const bool ready = rig.driver->is_ready();
    if (listed < std::uint64_t(count)) {
      EXPECT_FALSE(ready);
      EXPECT_TRUE(servers.requests.empty());
    }
    return ready;
  }));
  EXPECT_GE(
      turns,
      std::size_t(count) / EndpointTable::kMaxChangesPerSlice);  // the loop ran between slices
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(servers.requests.size(), 1U);  // nothing for who has left
}

TEST_F(ServerEndpointLists, AppliesALargeFirstListCompletelyBeforeBecomingReady) {
  const int count = 3'000;
  std::string entries;
  for (int i = 0; i < count; ++i) {
    entries += (i > 0 ? "," : "") + servers.entry(label("n", i), i);
  }
  rig.discovery.first = list(43, true, entries);
  rig.start();
  std::size_t turns = 0;
  std::optional<Client> client;
  ASSERT_TRUE(rig.until([&] {
    const auto listed = figure("targets");
    if (listed == 0 || listed == std::uint64_t(count))
      return rig.driver->is_ready();
    if (turns++ == 0)
      client.emplace(rig.client()).send(get("a"));
    EXPECT_FALSE(rig.driver->is_ready());
    EXPECT_TRUE(servers.requests.empty());
    return false;
  }));
  EXPECT_GE(turns, std::size_t(count) / EndpointTable::kMaxChangesPerSlice - 1);
  ASSERT_TRUE(client);
  EXPECT_EQ(status(*client), 200);
}

TEST_F(ServerEndpointLists, AnswersRequestsWhileALargeListIsApplied) {
  const int count = 3'000;
  for (int i = 0; i < count; ++i) {
    rig.know(servers.member(label("n", i), i));
  }
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.driver->is_ready() && rig.discovery.asked.size() == 1; }));
  std::string entries;
  for (int i = 100; i < count; ++i) {
    entries += (i > 100 ? "," : "") + servers.entry(label("n", i), i, "draining");
  }
  Client client = rig.client();
  rig.discovery.tell(list(42, false, entries));
  int meanwhile = 0;
  for (int i = 0; figure("targets_disabled") < std::uint64_t(count - 100); ++i) {
    client.send(get(label("t", i)));
    ASSERT_EQ(status(client), 200);
    meanwhile += figure("targets_disabled") > 0;
  }
  EXPECT_GE(meanwhile, 1);
  // From here on those that drain get nothing.
  const auto before = servers.peers.size();
  for (int i = 0; i < 50; ++i) {
    client.send(get(label("u", i)));
    ASSERT_EQ(status(client), 200);
  }
  for (auto i = before; i < servers.peers.size(); ++i) {
    EXPECT_LT(servers.peers[i]->socket.local_endpoint().address().to_v4().to_uint(),
              0x7f010000U + 100);
  }
}

TEST_F(ServerEndpointLists, NewerListIsNotOverwrittenBySlicesOfAnOlderOne) {
  const int count = 2'000;
  rig.know(member("s1", server1));
  rig.start();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.asked.size() == 1; }));
  std::string up;
  std::string drains;
  for (int i = 0; i < count; ++i) {
    up += (i > 0 ? "," : "") + servers.entry(label("n", i), i);
    drains += (i > 0 ? "," : "") + servers.entry(label("n", i), i, "draining");
  }
  rig.discovery.tell(list(42, false, up) + list(43, false, drains));
  ASSERT_TRUE(rig.until([&] { return figure("targets_disabled") == std::uint64_t(count); }));
  Client client = rig.client();
  for (int i = 0; i < 50; ++i) {
    client.send(get(label("t", i)));
    ASSERT_EQ(status(client), 200);
  }
  EXPECT_EQ(server1.requests.size(), 50U);
  EXPECT_EQ(figure("targets_disabled"), std::uint64_t(count));
}

}  // namespace
}  // namespace quota_gateway::net::testing
