// DiscoveryClient against a discovery agent on loopback.
#include "net/discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

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
  fake.first = list(43, false, entry("s1", "127.0.0.1:9", "draining", 1500));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.asked.at(0), "/catalog/members?watch=1&after=41");
  EXPECT_EQ(updates[0].revision, 43);
  EXPECT_FALSE(updates[0].complete);
  const auto& endpoint = updates[0].endpoints.at(0);
  EXPECT_EQ(endpoint.entry.state, EndpointState::kDraining);
  EXPECT_EQ(endpoint.entry.started_at, 1'500'000);
  EXPECT_EQ(endpoint.entry.cell, 1);
  EXPECT_EQ(endpoint.address.port(), 9);
}

TEST_F(DiscoveryClientTest, AcceptsAListInPieces) {
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const std::string line = list(44, true, entry("s1", "127.0.0.1:9"));
  const std::string bytes = FakeDiscovery::chunk("\n") + FakeDiscovery::chunk(line.substr(0, 20)) +
                            FakeDiscovery::chunk(line.substr(20) + line.substr(0, 9));
  for (const char byte : bytes) {
    fake.raw(std::string(1, byte));
  }
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_TRUE(updates[0].complete);
}

TEST_F(DiscoveryClientTest, AcceptsIndentedLists) {
  // Guards against a list that is cut where its lines end, and requested for ever. Brackets and
  // quotes in a string end nothing.
  const auto indented = [](const std::string& line) {
    return nlohmann::json::parse(line).dump(2) + "\n\n";
  };
  std::string odd = list(43, true, entry(R"(s}]\"{)", "127.0.0.1:9"));
  fake.first = indented(odd) + "\n" + indented(list(44, false, entry("s2", "127.0.0.1:9")));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(updates[0].endpoints.at(0).entry.server, "s}]\"{");
  EXPECT_EQ(updates[1].endpoints.at(0).entry.server, "s2");
  for (const char byte : indented(list(45, true, entry("s3", "127.0.0.1:9")))) {
    fake.tell(std::string(1, byte));
  }
  ASSERT_TRUE(until(io, [&] { return updates.size() == 3; }));
  EXPECT_EQ(updates[2].revision, 45);
  EXPECT_EQ(fake.asked.size(), 1U);
}

TEST_F(DiscoveryClientTest, RequestsACompleteListAfterOneThatBreaksOff) {
  // Guards against waiting for the end of a list behind which heartbeats go on: its changes would
  // be missed.
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const std::string whole = list(43, true, entry("s1", "127.0.0.1:9"));
  fake.first = whole;
  const Micros broke = clock.now();
  fake.tell(whole.substr(0, whole.size() / 2) + "\n\n");
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_LT(clock.now() - broke, 250'000);
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryClientTest, ResumesABrokenWatchAtTheLastRevision) {
  fake.first = list(43, false, "");
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  fake.peers[0]->reset();
  ASSERT_TRUE(until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(fake.asked.at(1), "/catalog/members?watch=1&after=43");
}

TEST_F(DiscoveryClientTest, ReconnectsASilentWatch) {
  // Guards against a watch that stays open and sends nothing, not even its heartbeat.
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 2; }));
  fake.mute = false;
  fake.first = list(45, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
}

TEST_F(DiscoveryClientTest, RequestsACompleteListAfterAMalformedOne) {
  // Guards against a change lost in a line that was not understood.
  fake.first = "{\"revision\":\"x\"}\n";
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() >= 2; }));
  fake.first = list(50, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryClientTest, RequestsACompleteListFromAnotherAgent) {
  // Guards against requesting only what changed after a revision that the other agent may not know.
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  FakeDiscovery other(io);
  other.first = list(7, true, entry("s2", "127.0.0.1:9"));
  discovery.move_to(other.address());
  ASSERT_TRUE(until(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(other.asked.at(0), "/catalog/members?watch=1");
  EXPECT_TRUE(until(io, [&] { return fake.peers[0]->over; }));
  EXPECT_EQ(fake.peers.size(), 1U);
}

TEST_F(DiscoveryClientTest, RejectsAnEmptyListAndRequestsAnother) {
  // Guards against a discovery that has lost its list and takes every endpoint from every gateway.
  fake.first = list(43, true, "");
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() >= 2; }));
  EXPECT_TRUE(updates.empty());
  fake.first = list(44, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST(PollingDiscoveryClient, HonoursRetryAfterAndThenWatchesAgain) {
  // Guards against a new request at once, whatever a 503 says. The known list stays in force
  // meanwhile.
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
  fake.refuse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
  discovery.start();
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const Micros refused = clock.now();
  EXPECT_TRUE(updates.empty());
  fake.refuse.clear();
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_GE(clock.now() - refused, 500'000);
}

TEST_F(DiscoveryClientTest, ReconnectsToAPushingAgentWithinTheGracePeriodHoweverItDisconnects) {
  // Guards against a wait during which the agent is back and all it has counts as told. However an
  // agent sends us away, and however often, the next try is never further off than the grace.
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  for (const bool resets : {true, false}) {
    fake.mute = resets;
    fake.refuse =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 10\r\nContent-Length: 0\r\n\r\n";
    for (int i = 0; i < 12; ++i) {
      const std::size_t asked = fake.asked.size();
      fake.peers.back()->reset();
      const Micros left = clock.now();
      ASSERT_TRUE(until(io, [&] { return fake.asked.size() > asked; }));
      EXPECT_LT(clock.now() - left, 250'000) << i;
    }
  }
}

TEST_F(DiscoveryClientTest, ReplacesASilentWatchInTimeThoughItsAgentAcceptsWithoutResponding) {
  // Guards against a clock that starts anew with each connection: 6 s after the silence all counts
  // as told.
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  const Micros silent = clock.now();
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 5; }));
  fake.mute = false;
  ASSERT_TRUE(until(io, [&] { return updates.size() == 2; }));
  EXPECT_LT(clock.now() - silent, 6'000'000);
}

TEST_F(DiscoveryClientTest, DisconnectsFromAnUnresponsiveAgentWithinTheGracePeriod) {
  // Guards against a dead connection that is trusted while the agent behind it has long been back.
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 3; }));
  const Micros back = clock.now();
  fake.mute = false;
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return updates.size() == 1; }));
  EXPECT_LT(clock.now() - back, 250'000);
}

}  // namespace
}  // namespace quota_gateway::net::testing
