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
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  ASSERT_TRUE(test_bed.run_until([&] { return test_bed.discovery.request_targets.size() == 1; }));
  test_bed.discovery.send_chunk(list_json(42, false,
                                          entry_json("s1", server1.host_port(), "draining") + "," +
                                              entry_json("s2", server2.host_port())));
  Client client = test_bed.client();
  // Sends requests until the change is in force. From then on the draining server must get none.
  for (int i = 0; server2.requests.empty() && i < 1000; ++i) {
    client.send(get_request(prefixed_number("t", i)));
    EXPECT_EQ(status(client), 200);
  }
  const auto before = server1.requests.size();
  for (int i = 0; i < 10; ++i) {
    client.send(get_request(prefixed_number("u", i)));
    EXPECT_EQ(status(client), 200);
  }
  EXPECT_EQ(server1.requests.size(), before);
}

// If requests were forwarded while only a part of the list is applied, all gateways of a fleet that
// starts at the same time would send them to the few servers that are first in the list.
TEST_F(ServerEndpointLists, AppliesALargePersistedListCompletelyBeforeForwarding) {
  const int count = 5'000;
  for (int i = 0; i < count; ++i) {
    test_bed.add_persisted_endpoint(servers.listed_endpoint(prefixed_number("n", i), i));
  }
  test_bed.discovery.unresponsive = true;
  test_bed.start();
  Client client = test_bed.client();
  Client disconnected = test_bed.client();
  client.send(get_request("a"));
  disconnected.send(get_request("b"));
  disconnected.socket.close();
  std::size_t turns_between_slices = 0;
  ASSERT_TRUE(test_bed.run_until([&] {
    const auto listed = metric("targets");
    if (listed > 0 && listed < std::uint64_t(count)) {
      ++turns_between_slices;
    }
    const bool ready = test_bed.server->is_ready();
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
    entries += (i > 0 ? "," : "") + servers.entry_json(prefixed_number("n", i), i);
  }
  test_bed.discovery.initial_body = list_json(43, true, entries);
  test_bed.start();
  std::size_t turns_between_slices = 0;
  std::optional<Client> client;
  ASSERT_TRUE(test_bed.run_until([&] {
    const auto listed = metric("targets");
    if (listed == 0 || listed == std::uint64_t(count)) {
      return test_bed.server->is_ready();
    }
    ++turns_between_slices;
    if (!client) {
      client.emplace(test_bed.client()).send(get_request("a"));
    }
    EXPECT_FALSE(test_bed.server->is_ready());
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
    test_bed.add_persisted_endpoint(servers.listed_endpoint(prefixed_number("n", i), i));
  }
  test_bed.start();
  ASSERT_TRUE(test_bed.run_until([&] {
    return test_bed.server->is_ready() && test_bed.discovery.request_targets.size() == 1;
  }));
  std::string entries;
  for (int i = 100; i < count; ++i) {
    entries += (i > 100 ? "," : "") + servers.entry_json(prefixed_number("n", i), i, "draining");
  }
  Client client = test_bed.client();
  test_bed.discovery.send_chunk(list_json(42, false, entries));
  int answered_during_update = 0;
  for (int i = 0; metric("targets_disabled") < std::uint64_t(count - 100); ++i) {
    client.send(get_request(prefixed_number("t", i)));
    ASSERT_EQ(status(client), 200);
    if (metric("targets_disabled") > 0) {
      ++answered_during_update;
    }
  }
  EXPECT_GE(answered_during_update, 1);
  // From here on the draining servers must get no requests: new connections only go to the first
  // 100 addresses.
  const auto before = servers.peers.size();
  for (int i = 0; i < 50; ++i) {
    client.send(get_request(prefixed_number("u", i)));
    ASSERT_EQ(status(client), 200);
  }
  for (auto i = before; i < servers.peers.size(); ++i) {
    EXPECT_LT(servers.peers[i]->socket.local_endpoint().address().to_v4().to_uint(),
              0x7f010000U + 100);
  }
}

TEST_F(ServerEndpointLists, NewerListIsNotOverwrittenBySlicesOfAnOlderOne) {
  const int count = 2'000;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  ASSERT_TRUE(test_bed.run_until([&] { return test_bed.discovery.request_targets.size() == 1; }));
  std::string accepting;
  std::string draining;
  for (int i = 0; i < count; ++i) {
    accepting += (i > 0 ? "," : "") + servers.entry_json(prefixed_number("n", i), i);
    draining += (i > 0 ? "," : "") + servers.entry_json(prefixed_number("n", i), i, "draining");
  }
  test_bed.discovery.send_chunk(list_json(42, false, accepting) + list_json(43, false, draining));
  ASSERT_TRUE(
      test_bed.run_until([&] { return metric("targets_disabled") == std::uint64_t(count); }));
  Client client = test_bed.client();
  for (int i = 0; i < 50; ++i) {
    client.send(get_request(prefixed_number("t", i)));
    ASSERT_EQ(status(client), 200);
  }
  EXPECT_EQ(server1.requests.size(), 50U);
  EXPECT_EQ(metric("targets_disabled"), std::uint64_t(count));
}

}  // namespace
}  // namespace quota_gateway::net::testing
