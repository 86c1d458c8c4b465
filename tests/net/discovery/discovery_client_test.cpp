// Tests DiscoveryClient against a fake discovery agent on loopback.
#include "net/discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

class DiscoveryClientTest : public ::testing::Test {
 protected:
  DiscoveryClientTest() { discovery.start(); }
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io};
  std::vector<EndpointList> updates;
  DiscoveryClient discovery{
      io,
      timers,
      clock,
      {.agent = fake.address(), .revision = 41},
      {.on_update = [this](const EndpointList& list) { updates.push_back(list); }}};
};

TEST_F(DiscoveryClientTest, WatchesFromTheKnownRevisionAndReportsChanges) {
  fake.initial_body = list_json(43, false, entry_json("s1", "127.0.0.1:9", "draining", 1500));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.request_targets.at(0), "/catalog/members?watch=1&after=41");
  EXPECT_EQ(updates[0].revision, 43);
  EXPECT_FALSE(updates[0].complete);
  const auto& endpoint = updates[0].endpoints.at(0);
  EXPECT_EQ(endpoint.entry.state, EndpointState::kDraining);
  EXPECT_EQ(endpoint.entry.started_at, 1'500'000);
  EXPECT_EQ(endpoint.entry.cell, 1);
  EXPECT_EQ(endpoint.address.port(), 9);
}

TEST_F(DiscoveryClientTest, AcceptsAListInPieces) {
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 1; }));
  const std::string line = list_json(44, true, entry_json("s1", "127.0.0.1:9"));
  const std::string bytes = FakeDiscovery::chunk("\n") + FakeDiscovery::chunk(line.substr(0, 20)) +
                            FakeDiscovery::chunk(line.substr(20) + line.substr(0, 9));
  for (const char byte : bytes) {
    fake.send_raw(std::string(1, byte));
  }
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_TRUE(updates[0].complete);
}

TEST_F(DiscoveryClientTest, AcceptsIndentedLists) {
  // If a line feed ended a list, an indented list would be rejected and requested again forever.
  // Brackets and escaped quotes inside a string must not end the list either.
  const auto indented = [](const std::string& line) {
    return nlohmann::json::parse(line).dump(2) + "\n\n";
  };
  const std::string with_brackets = list_json(43, true, entry_json(R"(s}]\"{)", "127.0.0.1:9"));
  fake.initial_body = indented(with_brackets) + "\n" +
                      indented(list_json(44, false, entry_json("s2", "127.0.0.1:9")));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(updates[0].endpoints.at(0).entry.server, "s}]\"{");
  EXPECT_EQ(updates[1].endpoints.at(0).entry.server, "s2");
  for (const char byte : indented(list_json(45, true, entry_json("s3", "127.0.0.1:9")))) {
    fake.send_chunk(std::string(1, byte));
  }
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 3; }));
  EXPECT_EQ(updates[2].revision, 45);
  EXPECT_EQ(fake.request_targets.size(), 1U);
}

TEST_F(DiscoveryClientTest, RequestsACompleteListAfterATruncatedList) {
  // Heartbeats continue after the truncated list. Waiting for the end of the list would lose its
  // changes.
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 1; }));
  const std::string complete_list = list_json(43, true, entry_json("s1", "127.0.0.1:9"));
  fake.initial_body = complete_list;
  const Micros broke_off_at = clock.now();
  fake.send_chunk(complete_list.substr(0, complete_list.size() / 2) + "\n\n");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_LT(clock.now() - broke_off_at, 250'000);
  EXPECT_EQ(fake.request_targets.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryClientTest, ResumesABrokenWatchAtTheLastRevision) {
  fake.initial_body = list_json(43, false, "");
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  fake.peers[0]->reset();
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(fake.request_targets.at(1), "/catalog/members?watch=1&after=43");
}

TEST_F(DiscoveryClientTest, ReconnectsASilentWatch) {
  // The connection stays open, but no data arrives, not even heartbeats.
  fake.unresponsive = true;
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 2; }));
  fake.unresponsive = false;
  fake.initial_body = list_json(45, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
}

TEST_F(DiscoveryClientTest, RequestsACompleteListAfterAMalformedOne) {
  // Otherwise a change in the malformed list would be lost.
  fake.initial_body = "{\"revision\":\"x\"}\n";
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() >= 2; }));
  fake.initial_body = list_json(50, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.request_targets.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryClientTest, RequestsACompleteListFromAnotherAgent) {
  // The new agent may not know the revision of the list in force, so a request for the changes
  // since that revision could miss some.
  fake.initial_body = list_json(43, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  FakeDiscovery other(io);
  other.initial_body = list_json(7, true, entry_json("s2", "127.0.0.1:9"));
  discovery.switch_agent(other.address());
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(other.request_targets.at(0), "/catalog/members?watch=1");
  EXPECT_TRUE(run_until(io, [&] { return fake.peers[0]->closed; }));
  EXPECT_EQ(fake.peers.size(), 1U);
}

TEST_F(DiscoveryClientTest, RejectsAnEmptyListAndRequestsAnother) {
  // Otherwise a discovery service that has lost its data would remove all endpoints from all
  // gateways.
  fake.initial_body = list_json(43, true, "");
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() >= 2; }));
  EXPECT_TRUE(updates.empty());
  fake.initial_body = list_json(44, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.request_targets.back(), "/catalog/members?watch=1");
}

TEST(PollingDiscoveryClient, HonoursRetryAfterAndThenWatchesAgain) {
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io};
  std::vector<EndpointList> updates;
  DiscoveryClient discovery{
      io,
      timers,
      clock,
      {.agent = fake.address(), .revision = 41, .max_rejection_backoff = 16'000'000},
      {.on_update = [&](const EndpointList& list) { updates.push_back(list); }}};
  fake.error_response =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 1; }));
  const Micros rejected_at = clock.now();
  EXPECT_TRUE(updates.empty());  // the current list stays in force
  fake.error_response.clear();
  fake.initial_body = list_json(43, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_GE(clock.now() - rejected_at, 500'000);
}

TEST_F(DiscoveryClientTest, ReconnectsToAPushingAgentWithinTheGracePeriodHoweverItDisconnects) {
  // As soon as an agent is back, discovery assumes that the gateway knows the agent's list. 250 ms
  // later no new request may go to a draining endpoint. Therefore the client must reconnect within
  // that time, whether the agent accepts requests without responding or rejects them, and after any
  // number of disconnections.
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 1; }));
  for (const bool resets : {true, false}) {
    fake.unresponsive = resets;
    fake.error_response =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 10\r\nContent-Length: 0\r\n\r\n";
    for (int i = 0; i < 12; ++i) {
      const std::size_t requests_before = fake.request_targets.size();
      fake.peers.back()->reset();
      const Micros disconnected_at = clock.now();
      ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() > requests_before; }));
      EXPECT_LT(clock.now() - disconnected_at, 250'000) << i;
    }
  }
}

TEST_F(DiscoveryClientTest, ReconnectsInTimeIfTheAgentAcceptsConnectionsWithoutResponding) {
  // 6 s after a watch fell silent, discovery assumes that the gateway knows all changes. The 6 s do
  // not restart with each new connection.
  fake.initial_body = list_json(43, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  const Micros silent_since = clock.now();
  fake.unresponsive = true;
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 5; }));
  fake.unresponsive = false;
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 2; }));
  EXPECT_LT(clock.now() - silent_since, 6'000'000);
}

TEST_F(DiscoveryClientTest, DisconnectsFromAnUnresponsiveAgentWithinTheGracePeriod) {
  // Otherwise the client would keep waiting on a dead connection although the agent is back.
  fake.unresponsive = true;
  ASSERT_TRUE(run_until(io, [&] { return fake.request_targets.size() == 3; }));
  const Micros back_at = clock.now();
  fake.unresponsive = false;
  fake.initial_body = list_json(43, true, entry_json("s1", "127.0.0.1:9"));
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_LT(clock.now() - back_at, 250'000);
}

}  // namespace
}  // namespace quota_gateway::net::testing
