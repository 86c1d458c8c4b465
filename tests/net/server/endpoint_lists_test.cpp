// How endpoint lists, small and large, take effect in a gateway that serves requests.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
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
  // Until the change is in force. From then on the draining server gets nothing.
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

// Without this, all gateways of a fleet that starts at once would send their requests to the few
// servers that are first in its list.
TEST_F(ServerEndpointLists, AppliesALargePersistedListCompletelyBeforeForwarding) {
  const int count = 5'000;
  for (int i = 0; i < count; ++i) {
    rig.know(servers.member(label("n", i), i));
  }
  rig.discovery.mute = true;
  rig.start();
  Client client = rig.client();
  Client disconnected = rig.client();
  client.send(get("a"));
  disconnected.send(get("b"));
  disconnected.socket.close();
  std::size_t turns_between_slices = 0;
  ASSERT_TRUE(rig.until([&] {
    const auto listed = figure("targets");
    if (listed > 0 && listed < std::uint64_t(count)) {
      ++turns_between_slices;
    }
    const bool ready = rig.driver->is_ready();
    if (listed < std::uint64_t(count)) {
      EXPECT_FALSE(ready);
      EXPECT_TRUE(servers.requests.empty());
    }
    return ready;
  }));
  EXPECT_GE(turns_between_slices, std::size_t(count) / EndpointTable::kMaxChangesPerSlice);
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(servers.requests.size(), 1U);  // none for the client that has disconnected
}

TEST_F(ServerEndpointLists, AppliesALargeFirstListCompletelyBeforeBecomingReady) {
  const int count = 3'000;
  std::string entries;
  for (int i = 0; i < count; ++i) {
    entries += (i > 0 ? "," : "") + servers.entry(label("n", i), i);
  }
  rig.discovery.first = list(43, true, entries);
  rig.start();
  std::size_t turns_between_slices = 0;
  std::optional<Client> client;
  ASSERT_TRUE(rig.until([&] {
    const auto listed = figure("targets");
    if (listed == 0 || listed == std::uint64_t(count)) {
      return rig.driver->is_ready();
    }
    ++turns_between_slices;
    if (!client) {
      client.emplace(rig.client()).send(get("a"));
    }
    EXPECT_FALSE(rig.driver->is_ready());
    EXPECT_TRUE(servers.requests.empty());
    return false;
  }));
  EXPECT_GE(turns_between_slices, std::size_t(count) / EndpointTable::kMaxChangesPerSlice - 1);
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
  int answered_meanwhile = 0;
  for (int i = 0; figure("targets_disabled") < std::uint64_t(count - 100); ++i) {
    client.send(get(label("t", i)));
    ASSERT_EQ(status(client), 200);
    if (figure("targets_disabled") > 0) {
      ++answered_meanwhile;
    }
  }
  EXPECT_GE(answered_meanwhile, 1);
  // From here on the draining servers get nothing.
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
  std::string accepting;
  std::string draining;
  for (int i = 0; i < count; ++i) {
    accepting += (i > 0 ? "," : "") + servers.entry(label("n", i), i);
    draining += (i > 0 ? "," : "") + servers.entry(label("n", i), i, "draining");
  }
  rig.discovery.tell(list(42, false, accepting) + list(43, false, draining));
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
