// Discovery's client, against a discovery on loopback.
#include "net/discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include <set>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class DiscoveryTest : public ::testing::Test {
 protected:
  DiscoveryTest() { discovery.start(); }
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io};
  std::vector<EndpointList> told;
  DiscoveryClient discovery{
      io,
      timers,
      clock,
      {.agent = fake.address(), .revision = 41},
      {.on_update = [this](const EndpointList& list) { told.push_back(list); }}};
};

TEST_F(DiscoveryTest, WatchesFromWhatIsKnownAndTellsChanges) {
  fake.first = list(43, false, entry("s1", "127.0.0.1:9", "draining", 1500));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(fake.asked.at(0), "/catalog/members?watch=1&after=41");
  EXPECT_EQ(told[0].revision, 43);
  EXPECT_FALSE(told[0].complete);
  const auto& m = told[0].endpoints.at(0);
  EXPECT_EQ(m.entry.state, EndpointState::kDraining);
  EXPECT_EQ(m.entry.started_at, 1'500'000);
  EXPECT_EQ(m.entry.cell, 1);
  EXPECT_EQ(m.address.port(), 9);
}

TEST_F(DiscoveryTest, LinesMayComeInPieces) {
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const std::string line = list(44, true, entry("s1", "127.0.0.1:9"));
  const std::string bytes = FakeDiscovery::chunk("\n") + FakeDiscovery::chunk(line.substr(0, 20)) +
                            FakeDiscovery::chunk(line.substr(20) + line.substr(0, 9));
  for (const char byte : bytes) {
    fake.raw(std::string(1, byte));
  }
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_TRUE(told[0].complete);
}

TEST_F(DiscoveryTest, ListsMayComeIndented) {
  // Guards against a list that is cut where its lines end, and asked for for ever. Brackets and
  // quotes in a text end nothing.
  const auto indented = [](const std::string& line) {
    return nlohmann::json::parse(line).dump(2) + "\n\n";
  };
  std::string odd = list(43, true, entry(R"(s}]\"{)", "127.0.0.1:9"));
  fake.first = indented(odd) + "\n" + indented(list(44, false, entry("s2", "127.0.0.1:9")));
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(told[0].endpoints.at(0).entry.server, "s}]\"{");
  EXPECT_EQ(told[1].endpoints.at(0).entry.server, "s2");
  for (const char byte : indented(list(45, true, entry("s3", "127.0.0.1:9")))) {
    fake.tell(std::string(1, byte));
  }
  ASSERT_TRUE(until(io, [&] { return told.size() == 3; }));
  EXPECT_EQ(told[2].revision, 45);
  EXPECT_EQ(fake.asked.size(), 1U);
}

TEST_F(DiscoveryTest, AListThatBreaksOffIsAskedForWhole) {
  // Guards against waiting for the end of a list behind which heartbeats go on: what it held would
  // be missed.
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const std::string whole = list(43, true, entry("s1", "127.0.0.1:9"));
  fake.first = whole;
  const Micros broke = clock.now();
  fake.tell(whole.substr(0, whole.size() / 2) + "\n\n");
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_LT(clock.now() - broke, 250'000);
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryTest, ABrokenWatchGoesOnAtTheLastRevision) {
  fake.first = list(43, false, "");
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  fake.peers[0]->reset();
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(fake.asked.at(1), "/catalog/members?watch=1&after=43");
}

TEST_F(DiscoveryTest, AQuietWatchIsTakenForBroken) {
  // Guards against a watch that stays open and says nothing, not even its heartbeat.
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 2; }));
  fake.mute = false;
  fake.first = list(45, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
}

TEST_F(DiscoveryTest, NonsenseIsNoCrashAndTheWholeListIsAskedFor) {
  // Guards against a change lost in a line that was not understood.
  fake.first = "{\"revision\":\"x\"}\n";
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() >= 2; }));
  fake.first = list(50, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST_F(DiscoveryTest, AnotherAgentIsAskedForTheWholeList) {
  // Guards against asking only for what changed after a revision that the other agent may not know.
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  FakeDiscovery other(io);
  other.first = list(7, true, entry("s2", "127.0.0.1:9"));
  discovery.move_to(other.address());
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(other.asked.at(0), "/catalog/members?watch=1");
  EXPECT_TRUE(until(io, [&] { return fake.peers[0]->over; }));
  EXPECT_EQ(fake.peers.size(), 1U);
}

TEST(ListedEndpoints, WrongShapesThrow) {
  for (const char* text :
       {"[]", "{}", R"({"revision":1,"members":[{}]})", R"({"revision":1,"members":[1]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"nowhere:1"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"127.0.0.1:99999"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"odd","host_port":"127.0.0.1:9"}]})"}) {
    EXPECT_ANY_THROW(parse_endpoint_list(nlohmann::json::parse(text))) << text;
  }
}

TEST_F(DiscoveryTest, AnEmptyListLeavesTheKnownOneAndIsAskedForAnew) {
  // Guards against a discovery that has lost its list and takes every server from every gateway.
  fake.first = list(43, true, "");
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() >= 2; }));
  EXPECT_TRUE(told.empty());
  fake.first = list(44, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(fake.asked.back(), "/catalog/members?watch=1");
}

TEST(AskedDiscovery, WhoIsTurnedAwayWaitsAsLongAsToldAndHasItsWatchBack) {
  // Guards against asking anew at once, whatever a 503 says. The list that is known stays
  // meanwhile.
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeDiscovery fake{io};
  std::vector<EndpointList> told;
  DiscoveryClient discovery{
      io,
      timers,
      clock,
      {.agent = fake.address(), .revision = 41, .max_rejection_backoff = 16'000'000},
      {.on_update = [&](const EndpointList& list) { told.push_back(list); }}};
  fake.refuse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
  discovery.start();
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 1; }));
  const Micros refused = clock.now();
  EXPECT_TRUE(told.empty());
  fake.refuse.clear();
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_GE(clock.now() - refused, 500'000);
}

TEST_F(DiscoveryTest, APushedListIsThereWithinTheGraceWheneverItsAgentComesBack) {
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

TEST_F(DiscoveryTest, AWatchThatFallsSilentIsReplacedInTimeThoughItsAgentAcceptsAndSaysNothing) {
  // Guards against a clock that starts anew with each connection: 6 s after the silence all counts
  // as told.
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  const Micros silent = clock.now();
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 5; }));
  fake.mute = false;
  ASSERT_TRUE(until(io, [&] { return told.size() == 2; }));
  EXPECT_LT(clock.now() - silent, 6'000'000);
}

TEST_F(DiscoveryTest, AnAgentThatAcceptsAndSaysNothingIsLeftWithinTheGrace) {
  // Guards against a dead connection that is trusted while the agent behind it has long been back.
  fake.mute = true;
  ASSERT_TRUE(until(io, [&] { return fake.asked.size() == 3; }));
  const Micros back = clock.now();
  fake.mute = false;
  fake.first = list(43, true, entry("s1", "127.0.0.1:9"));
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_LT(clock.now() - back, 250'000);
}

TEST(BackoffTest, WaitsGrowAndThoseOfManyAreSpread) {
  // Guards against a fleet that was started at once and asks at once, again and again.
  std::vector<std::set<Micros>> waits(5);
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Backoff b(100'000, 1'600'000, seed);
    for (int round = 0; round < 2; ++round, b.reset()) {
      for (std::size_t i = 0; i < waits.size(); ++i) {
        const Micros most = std::min<Micros>(1'600'000, 100'000 << (2 * i));
        const Micros wait = b.next();
        EXPECT_GE(wait, 0);
        EXPECT_LE(wait, most);
        waits[i].insert(wait * 10 / most);
      }
    }
  }
  for (const auto& different : waits) {
    EXPECT_GE(different.size(), 10U);
  }
}

TEST(BackoffTest, CallsOfAFleetThatIsTurnedAwayThinOut) {
  // As gateways are added, and whatever moment they start at, none asks more often than the bound
  // lets it.
  for (const int gateways : {2, 20, 100}) {
    std::vector<int> in_second(60);
    for (int g = 0; g < gateways; ++g) {
      Backoff b(1'000'000, 16'000'000, std::uint64_t(g + 1));
      for (Micros at = 0; at < 60'000'000; at += b.next()) {
        ++in_second[std::size_t(at / 1'000'000)];
      }
    }
    int most = 0;
    int later = 0;
    for (std::size_t s = 10; s < 60; ++s) {
      most = std::max(most, in_second[s]), later += in_second[s];
    }
    EXPECT_LE(later, gateways * 50 / 4) << gateways;
    EXPECT_LE(most, 3 + gateways / 3) << gateways;
    EXPECT_GE(later, gateways * 2) << gateways;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
