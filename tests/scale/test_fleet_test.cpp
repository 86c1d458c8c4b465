// The world of the scale tests: stand-ins against the real clients, the day that is drawn, a small
// fleet.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <set>
#include <sstream>

#include "clocks.hpp"
#include "day.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "fake_endpoints.hpp"
#include "fleet_scenario.hpp"
#include "net/counter/counter_client.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_list_parser.hpp"
#include "process_resources.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Runs the loop until `done`, or gives up after a time that no healthy run comes near.
bool until(asio::io_context& io, const std::function<bool()>& done) {
  const Micros end = steady_now() + 20'000'000;
  while (!done()) {
    if (steady_now() > end) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::vector<ListedServer> some_servers(std::size_t count) {
  const Layout layout{count, 0, 7, 3};
  return list_servers(layout,
                      [](std::size_t i) { return "127.0.0.1:" + std::to_string(1000 + i); });
}
ListedServer changed(const ListedServer& from, Phase phase) {
  ListedServer out = from;
  out.phase = phase;
  return out;
}

// ---- The agent
// ----------------------------------------------------------------------------------------
class FakeDiscoveryTest : public ::testing::Test {
 protected:
  void make(FakeDiscovery::Options options = {}) {
    if (options.servers.empty()) {
      options.servers = some_servers(50);
    }
    options.revision = 41;
    agent.emplace(io, options);
  }
  void watch(std::int64_t after) {
    clients.push_back(std::make_unique<net::DiscoveryClient>(
        io, timers, clock, net::DiscoveryOptions{.agent = agent->address(), .revision = after},
        net::DiscoveryCallbacks{
            .on_update = [this](const net::EndpointList& list) { told.push_back(list); }}));
    clients.back()->start();
  }
  bool comes(std::size_t lists) {
    return until(io, [&] { return told.size() >= lists; });
  }
  asio::io_context io;
  net::Clock clock;
  net::Timers timers{io, clock};
  std::optional<FakeDiscovery> agent;
  std::vector<std::unique_ptr<net::DiscoveryClient>> clients;  // their handlers hold on to them
  std::vector<net::EndpointList> told;
};

TEST_F(FakeDiscoveryTest, TellsTheWholeListWhereItKnowsNoDifferenceAndThenChanges) {
  make();
  watch(0);
  ASSERT_TRUE(comes(1));
  EXPECT_TRUE(told[0].complete);
  EXPECT_EQ(told[0].revision, 41);
  ASSERT_EQ(told[0].endpoints.size(), 50U);
  EXPECT_EQ(told[0].endpoints[9].entry.server, server_id(9));
  EXPECT_EQ(told[0].endpoints[9].entry.zone, "c");
  EXPECT_EQ(told[0].endpoints[9].address.port(), 1009);
  agent->publish({changed(agent->servers()[3], Phase::kDraining)});
  agent->publish(
      {changed(agent->servers()[3], Phase::kRemoved), changed(agent->servers()[4], Phase::kUp)});
  ASSERT_TRUE(comes(3));
  EXPECT_FALSE(told[1].complete);
  EXPECT_EQ(told[1].revision, 42);
  EXPECT_EQ(told[1].endpoints.at(0).entry.state, EndpointState::kDraining);
  EXPECT_EQ(told[2].endpoints.size(), 2U);
  EXPECT_EQ(told[2].endpoints[0].entry.state, EndpointState::kRemoved);
  EXPECT_EQ(agent->counts().updates, 2U);
  EXPECT_EQ(agent->counts().full_lists, 1U);
}

TEST_F(FakeDiscoveryTest, TellsWhatChangedSinceAsOneObjectWhileHistoryHolds) {
  make({.history = 3});
  const auto servers = agent->servers();
  agent->publish({changed(servers[1], Phase::kDraining)});
  agent->publish({changed(servers[1], Phase::kRemoved), changed(servers[2], Phase::kDraining)});
  watch(41);
  ASSERT_TRUE(comes(1));
  EXPECT_FALSE(told[0].complete);
  EXPECT_EQ(told[0].revision, 43);
  ASSERT_EQ(told[0].endpoints.size(), 2U);  // each server once, as it is now
  EXPECT_EQ(told[0].endpoints[0].entry.state, EndpointState::kRemoved);
  agent->publish(
      {changed(servers[5], Phase::kDraining)});  // a fourth entry: the oldest difference is lost
  ASSERT_TRUE(comes(2));
  told.clear();
  watch(41);
  ASSERT_TRUE(comes(1));
  EXPECT_TRUE(told[0].complete);
  EXPECT_EQ(told[0].endpoints.size(), 49U);
}

TEST_F(FakeDiscoveryTest, AWholeListThatWasEncodedBeforeComesWithWhatChangedSince) {
  make();
  watch(0);
  ASSERT_TRUE(comes(1));
  agent->publish({changed(agent->servers()[7], Phase::kDraining)});
  ASSERT_TRUE(comes(2));
  told.clear();
  watch(0);
  ASSERT_TRUE(comes(2));
  EXPECT_EQ(told[0].revision, 41);
  EXPECT_TRUE(told[0].complete);
  EXPECT_EQ(told[1].revision, 42);
  EXPECT_EQ(told[1].endpoints.at(0).entry.state, EndpointState::kDraining);
}

TEST_F(FakeDiscoveryTest, SilentItSaysNothingAndThenWhatWasMissed) {
  make();
  watch(41);
  ASSERT_TRUE(until(io, [&] { return agent->counts().watchers == 1; }));
  const auto asks = agent->counts().requests;
  agent->set_silent(true);
  agent->publish({changed(agent->servers()[7], Phase::kDraining)});
  // The client finds it silent and tries anew; nothing is told all the while.
  ASSERT_TRUE(until(io, [&] { return agent->counts().connections >= 3; }));
  EXPECT_TRUE(told.empty());
  EXPECT_EQ(agent->counts().requests, asks);
  agent->set_silent(false);
  ASSERT_TRUE(comes(1));
  EXPECT_EQ(told[0].revision, 42);
  EXPECT_FALSE(told[0].complete);
}

TEST_F(FakeDiscoveryTest, TurnsAwayBreaksOffStopsAndIsBack) {
  make();
  agent->reject_requests({.status = 503, .retry_after_s = 1});
  watch(41);
  ASSERT_TRUE(until(io, [&] { return agent->counts().rejected >= 2; }));
  agent->accept_requests();
  ASSERT_TRUE(until(io, [&] { return agent->counts().watchers == 1; }));
  agent->reset_watchers();
  EXPECT_EQ(agent->counts().watchers, 0U);
  ASSERT_TRUE(until(io, [&] { return agent->counts().watchers == 1; }));
  const auto address = agent->address();
  agent->stop();
  agent->publish({changed(agent->servers()[7], Phase::kDraining)});
  agent->forget_history();
  agent->start();
  EXPECT_EQ(agent->address(), address);
  ASSERT_TRUE(comes(1));
  EXPECT_TRUE(told[0].complete);  // its history is lost, and the client's revision an old one
}

TEST_F(FakeDiscoveryTest, HeartbeatsKeepAWatchUp) {
  make({.heartbeat_interval = 100'000});
  watch(41);
  ASSERT_TRUE(until(io, [&] { return agent->counts().heartbeats >= 20; }));
  EXPECT_EQ(agent->counts().connections, 1U);
}

TEST_F(FakeDiscoveryTest, WithoutAWatchTheListIsTheWholeAnswer) {
  make();
  const auto address = agent->address();
  tcp::socket socket(io);
  socket.connect(address);
  asio::write(socket,
              asio::buffer(std::string("GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::string answer;
  bool done = false;
  asio::async_read_until(socket, asio::dynamic_buffer(answer), "]}\n",
                         [&](auto, auto) { done = true; });
  ASSERT_TRUE(until(io, [&] { return done; }));
  const auto list =
      net::parse_endpoint_list(nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4)));
  EXPECT_EQ(list.endpoints.size(), 50U);
  EXPECT_TRUE(list.complete);
}

// ---- The counter
// --------------------------------------------------------------------------------------
class FakeCounterTest : public ::testing::Test {
 protected:
  void make(FakeCounter::Options options) {
    server.emplace(io, options);
    client = std::make_shared<net::CounterClient>(io, timers, clock, server->address(), 5'000'000,
                                                  250'000,
                                                  [this](CounterReply a) { answers.push_back(a); });
    client->start();
  }
  CounterReply add(std::int64_t name, double amount, Micros life = 4'000'000) {
    const auto want = answers.size() + 1;
    client->add({name, amount, life});
    EXPECT_TRUE(until(io, [&] { return answers.size() >= want; }));
    return answers.empty() ? CounterReply{} : answers.back();
  }
  asio::io_context io;
  net::Clock clock;
  net::Timers timers{io, clock};
  std::optional<FakeCounter> server;
  std::shared_ptr<net::CounterClient> client;
  std::vector<CounterReply> answers;
};

TEST_F(FakeCounterTest, AddsByNameAndForgets) {
  make({});
  EXPECT_DOUBLE_EQ(add(9, 2.5).total, 2.5);
  EXPECT_DOUBLE_EQ(add(9, -1).total, 1.5);
  EXPECT_DOUBLE_EQ(add(8, 1e9).total, 1e9);
  EXPECT_EQ(server->counts().names, 2U);
  EXPECT_DOUBLE_EQ(add(7, 1, 1'000).total, 1);  // lives 1 ms
  ASSERT_TRUE(
      until(io, [&] { return add(7, 1, 1'000).total == 1 && server->counts().names >= 3; }));
  ASSERT_TRUE(until(io, [&] { return server->counts().names == 0; }));  // swept
}

TEST_F(FakeCounterTest, TurnsAwayPastItsRateAndUntilItBegins) {
  make({.calls_per_second = 100, .max_queue_time = 50'000, .accepts_calls = false});
  EXPECT_EQ(add(1, 1).outcome, CounterOutcome::kNotAdded);
  server->accept_calls();
  EXPECT_EQ(add(1, 1).outcome, CounterOutcome::kOk);
  answers.clear();
  for (int i = 0; i < 40; ++i) {
    client->add({1, 1, 4'000'000});
  }
  ASSERT_TRUE(until(io, [&] { return answers.size() == 40; }));
  const auto ok = std::count_if(answers.begin(), answers.end(),
                                [](const auto& a) { return a.outcome == CounterOutcome::kOk; });
  EXPECT_GE(ok, 5);  // its line
  EXPECT_LT(ok, 40);
  EXPECT_EQ(server->counts().rejected, 1U + 40U - std::uint64_t(ok));
  EXPECT_DOUBLE_EQ(add(1, 0).total, 1 + double(ok));  // what was turned away was not added
}

TEST_F(FakeCounterTest, CallsOfAPartThatIsDownWaitAndAnswersKeepTheirOrder) {
  make({.shards = 1});
  server->set_shard_down(0, true);
  for (int i = 1; i <= 3; ++i) {
    client->add({i, double(i), 4'000'000});
  }
  ASSERT_TRUE(until(io, [&] { return server->counts().calls == 3; }));
  EXPECT_TRUE(answers.empty());
  server->set_shard_down(0, false);
  ASSERT_TRUE(until(io, [&] { return answers.size() == 3; }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_DOUBLE_EQ(answers[std::size_t(i)].total, i + 1);
  }
}

TEST_F(FakeCounterTest, AnswersWhatThePageTellsRaw) {
  make({});
  tcp::socket socket(io);
  socket.connect(server->address());
  const auto call = [](std::vector<std::string> words) {
    std::ostringstream out;
    out << '*' << words.size() << "\r\n";
    for (const auto& w : words) {
      out << '$' << w.size() << "\r\n" << w << "\r\n";
    }
    return out.str();
  };
  asio::write(
      socket,
      asio::buffer(call({"PING"}) + call({"CLIENT", "SETNAME", "x"}) + call({"SELECT", "0"}) +
                   call({"CNT.ADD", "n", "-2.5", "4000"}) + call({"CNT.ADD", "n", "2e9", "4000"}) +
                   call({"CNT.ADD", std::string(65, 'n'), "1", "4000"}) +
                   call({"CNT.ADD", "n", "1", "0"}) + call({"GET", "n"}) + call({"PING"})));
  std::string in;
  const std::string want =
      "+PONG\r\n+OK\r\n+OK\r\n$4\r\n-2.5\r\n-ERR no such call\r\n-ERR no such call\r\n-ERR no such "
      "call\r\n"
      "-ERR no such call\r\n+PONG\r\n";
  bool done = false;
  asio::async_read(socket, asio::dynamic_buffer(in, want.size()), [&](auto, auto) { done = true; });
  ASSERT_TRUE(until(io, [&] { return done; }));
  EXPECT_EQ(in, want);
}

// ---- The servers
// --------------------------------------------------------------------------------------
TEST(FakeEndpointsTest, AnswerAsThePageTells) {
  EventLoopThread machine;
  auto& servers = machine.emplace<FakeEndpoints>(3, 7);
  machine.run([&] {
    servers.set_response(1, {.status = 503, .never_ran = true, .service_time = 0});
    servers.set_response(2, {.status = 500, .service_time = 0});
  });
  asio::io_context io;
  const auto ask = [&](std::size_t server, const std::string& target, const std::string& headers) {
    tcp::socket socket(io);
    socket.connect(machine.run([&] { return servers.address(server); }));
    asio::write(socket,
                asio::buffer("GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n"));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n");
    return answer;
  };
  const std::string id = "X-Trace-Id: t1\r\n";
  EXPECT_EQ(ask(0, "/read/1", id).substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(ask(1, "/read/1", id).find("503 Answer\r\nX-Never-Ran: 1\r\n"), std::string::npos);
  EXPECT_EQ(ask(5, "/read/1", id).substr(0, 12), "HTTP/1.1 500");  // the third of three, again
  EXPECT_EQ(ask(0, "/read/1", "").substr(0, 12), "HTTP/1.1 404");
  EXPECT_EQ(ask(0, "/ping", id).substr(0, 12), "HTTP/1.1 404");
  const auto counts = machine.run([&] { return servers.counts(); });
  EXPECT_EQ(counts.requests, 5U);
  EXPECT_EQ(counts.responses.at(404), 2U);
}

// ---- The day
// ------------------------------------------------------------------------------------------
TEST(DayTest, HasTheTargetsCountsInOrder) {
  const Target target;
  const Layout layout = Layout::with_zones_of(target, target.servers, target.gateways);
  const auto day = draw_day(layout, {.seed = 3});
  ASSERT_TRUE(
      std::is_sorted(day.begin(), day.end(),
                     [](const Disturbance& a, const Disturbance& b) { return a.at < b.at; }));
  std::map<std::pair<Cause, Change>, std::size_t> counts;
  for (const Disturbance& h : day) {
    ++counts[{h.cause, h.change}];
  }
  const auto near = [](std::size_t count, double mean) {
    return std::abs(double(count) - mean) < 5 * std::sqrt(mean);
  };
  EXPECT_TRUE(near(counts[{Cause::kRestart, Change::kDraining}], target.restarts_per_day));
  EXPECT_EQ(counts[(std::pair{Cause::kRestart, Change::kGone})],
            counts[(std::pair{Cause::kRestart, Change::kDraining})]);
  EXPECT_EQ(counts[(std::pair{Cause::kRestart, Change::kUp})],
            counts[(std::pair{Cause::kRestart, Change::kDraining})]);
  EXPECT_TRUE(near(counts[{Cause::kConfiguration, Change::kSettingsChanged}],
                   target.config_changes_per_day));
  // Machines hold several servers each, of which some may be away already.
  const auto machines = counts[{Cause::kMachine, Change::kGone}];
  EXPECT_TRUE(near(machines / kServersPerMachine, target.failures_per_day)) << machines;
  EXPECT_EQ(machines, (counts[{Cause::kMachine, Change::kUp}]));
}

TEST(DayTest, SameSeedSameDayOtherSeedAnotherAndAPartIsAPart) {
  const Layout layout = Layout::with_zones_of(Target{}, 17'000, 740);
  const auto day = draw_day(layout, {.seed = 3, .compression = 60});
  EXPECT_EQ(day, draw_day(layout, {.seed = 3, .compression = 60}));
  EXPECT_NE(day, draw_day(layout, {.seed = 4, .compression = 60}));
  const auto restarts = std::count_if(day.begin(), day.end(), [](const Disturbance& h) {
    return h.cause == Cause::kRestart && h.change == Change::kUp;
  });
  EXPECT_NEAR(double(restarts), 1400,
              5 * std::sqrt(1400.0));  // a tenth of the servers, all day long
  EXPECT_LT(day.back().at, Micros(30 * 3600e6 / 60));
}

TEST(DayTest, EachServersChangesMakeSense) {
  const Layout layout = Layout::with_zones_of(Target{}, 2'000, 20);
  // Many times the target's rates, so that causes meet.
  const auto day = draw_day(layout, {.seed = 5, .target_rate_fraction = 1});
  std::vector<Change> now(layout.servers, Change::kUp);
  for (const Disturbance& h : day) {
    if (h.cause == Cause::kRegion || h.cause == Cause::kConfiguration) {
      continue;
    }
    Change& was = now.at(h.subject);
    const Change before = h.change == Change::kUp ? Change::kGone
                          : h.change == Change::kGone && h.cause == Cause::kRestart
                              ? Change::kDraining
                              : Change::kUp;
    EXPECT_EQ(was, before);
    was = h.change;
  }
  EXPECT_TRUE(std::all_of(now.begin(), now.end(), [](Change c) { return c == Change::kUp; }));
}

TEST(DayTest, ServersLieEvenly) {
  const Layout layout = Layout::with_zones_of(Target{}, 170'000, 7'400);
  std::map<std::size_t, std::size_t> zones;
  std::map<std::size_t, std::size_t> racks;
  for (std::size_t i = 0; i < layout.servers; ++i) {
    ++zones[layout.zone(i)], ++racks[layout.rack(i)];
  }
  ASSERT_EQ(zones.size(), 7U);
  EXPECT_EQ(racks.size(), layout.racks());
  for (const auto& [zone, count] : zones) {
    EXPECT_NEAR(double(count), 170'000 / 7.0, 1);
  }
  for (const auto& [rack, count] : racks) {
    EXPECT_LE(count, kServersPerRack);
  }
}

// ---- A fleet
// ------------------------------------------------------------------------------------------
TEST(FleetTest, TwentySimulatedGatewaysServeAndFollowTheList) {
  LogLineCounter log;
  EventLoopThread tier;
  EventLoopThread counting;
  const auto servers = some_servers(200);
  auto& agent = tier.emplace<FakeDiscovery>(FakeDiscovery::Options{.servers = servers});
  auto& counter = counting.emplace<FakeCounter>(FakeCounter::Options{});
  FleetOptions options;
  options.gateways = 20;
  options.groups = 2;
  options.agents = {agent.address()};
  options.counter = counter.address();
  options.requests_per_s = 50;
  options.servers = servers.size();
  SimulatedFleet fleet(options);
  fleet.expect(servers);
  constexpr Micros kBound = 20'000'000;
  ASSERT_TRUE(fleet.wait_until(
      [](const FleetState& s) { return s.converged == 20 && s.served > 200; }, kBound));
  EXPECT_GT(fleet.state().counter_calls, 0U);

  const Micros since = steady_now();
  auto gone = changed(servers[5], Phase::kRemoved);
  const auto revision = tier.run([&] { return agent.publish({gone}); });
  fleet.expect(tier.run([&] { return agent.servers(); }));
  ASSERT_TRUE(
      fleet.wait_until([&](const FleetState& s) { return s.least_revision >= revision; }, kBound));
  EXPECT_EQ(fleet.state().converged, 20U);
  const auto delays = fleet.delays(revision, since);
  ASSERT_EQ(delays.size(), 20U);
  for (const double d : delays) {
    EXPECT_GT(d, 0);
  }

  fleet.restart(1);
  ASSERT_TRUE(fleet.wait_until([](const FleetState& s) { return s.converged == 20; }, kBound));
  const FleetState s = fleet.state();
  EXPECT_EQ(s.lost_list, 0U);
  EXPECT_EQ(tier.run([&] { return agent.counts().full_lists; }),
            30U);  // ten started with none, again
  EXPECT_GT(counting.run([&] { return counter.counts().calls; }), 0U);
  EXPECT_EQ(s.failed, 0U);
  EXPECT_GT(s.cpu_time, s.module_cpu_time);
}

TEST(FleetTest, ARegionThatWasCutIsRightAgainByADifferenceOrByAWholeList) {
  TestFleet::Options how;
  how.layout = Layout::with_zones_of(Target{}, 150, 12);
  how.agents = 3;
  how.with_persisted_list = true;
  how.fleet.groups = 2;
  TestFleet world(how);
  start_and_converge(world);
  EXPECT_EQ(world.usage().discovery.full_lists, 0U);  // all started with the list
  const auto day = draw_day(
      world.layout(), {.seed = 2, .hours = 1, .compression = 3'600, .target_rate_fraction = 1});
  constexpr std::size_t kCut = 1;
  for (const bool history : {true, false}) {
    const auto before = world.usage();
    world.with_agent(kCut, [](FakeDiscovery& agent) { agent.set_silent(true); });
    EXPECT_GT(world.replay(day, 1'000'000, 250'000), 100U);
    const auto revision =
        world.with_agent(0, [](FakeDiscovery& agent) { return agent.revision(); });
    EXPECT_LT(world.fleet().state().least_revision, revision);  // of those that are cut
    world.with_agent(kCut, [history](FakeDiscovery& agent) {
      if (!history) {
        agent.forget_history();
      }
      agent.set_silent(false);
    });
    EXPECT_TRUE(world.fleet().wait_until(
        [revision](const FleetState& s) { return s.least_revision >= revision; },
        kConvergenceTimeout));
    EXPECT_TRUE(world.wait_until_converged(kConvergenceTimeout));
    EXPECT_EQ(world.usage().since(before).discovery.full_lists, history ? 0U : 4U);
  }
  EXPECT_EQ(world.fleet().state().lost_list, 0U);
}

TEST(FleetTest, ASizePastTheDescriptorsIsRefusedBeforeItStarts) {
  FleetOptions options;
  options.agents = {tcp::endpoint(asio::ip::address_v4::loopback(), 1)};
  options.gateways = raise_descriptor_limit();
  EXPECT_THROW(SimulatedFleet{options}, std::runtime_error);
}

}  // namespace
}  // namespace quota_gateway::scale
