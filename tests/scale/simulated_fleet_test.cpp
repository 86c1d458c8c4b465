// Tests of a small fleet of simulated gateways with the fake agents, counter and servers.
#include "simulated_fleet.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <stdexcept>

#include "clocks.hpp"
#include "disruptions.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "fleet_scenario.hpp"
#include "log_line_counter.hpp"
#include "process_resources.hpp"
#include "scale_test_support.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

using testing::make_servers;
using testing::with_phase;

class SimulatedFleetTest : public ::testing::Test {
 protected:
  static constexpr Micros kTimeout = 20'000'000;
  static constexpr std::size_t kGateways = 20;

  static bool wait_until_converged(const SimulatedFleet& fleet) {
    return fleet.wait_until([](const FleetState& state) { return state.converged == kGateways; },
                            kTimeout);
  }
};

TEST_F(SimulatedFleetTest, GatewaysServeAndFollowTheList) {
  const LogLineCounter log;
  EventLoopThread agent_thread;
  EventLoopThread counter_thread;
  const auto servers = make_servers(200);
  auto& agent = agent_thread.emplace<FakeDiscovery>(FakeDiscovery::Options{.servers = servers});
  auto& counter = counter_thread.emplace<FakeCounter>(FakeCounter::Options{});
  FleetOptions options;
  options.gateways = kGateways;
  options.groups = 2;
  options.agents = {agent.address()};
  options.counter = counter.address();
  options.requests_per_s = 50;
  options.servers = servers.size();
  SimulatedFleet fleet(options);
  fleet.expect(servers);
  ASSERT_TRUE(fleet.wait_until(
      [](const FleetState& state) { return state.converged == kGateways && state.served > 200; },
      kTimeout));
  EXPECT_GT(fleet.state().counter_calls, 0U);

  const Micros since = steady_now();
  const auto removed = with_phase(servers[5], Phase::kRemoved);
  const auto revision = agent_thread.run([&] { return agent.publish({removed}); });
  fleet.expect(agent_thread.run([&] { return agent.servers(); }));
  ASSERT_TRUE(fleet.wait_until(
      [&](const FleetState& state) { return state.min_revision >= revision; }, kTimeout));
  EXPECT_EQ(fleet.state().converged, kGateways);
  const auto delays = fleet.delays(revision, since);
  ASSERT_EQ(delays.size(), kGateways);
  for (const double delay : delays) {
    EXPECT_GT(delay, 0);
  }

  fleet.restart(1);
  ASSERT_TRUE(wait_until_converged(fleet));
  const FleetState state = fleet.state();
  EXPECT_EQ(state.lost_list, 0U);
  // The ten restarted gateways had no persisted list and got a complete one.
  EXPECT_EQ(agent_thread.run([&] { return agent.counts().full_lists; }), 30U);
  EXPECT_GT(counter_thread.run([&] { return counter.counts().calls; }), 0U);
  EXPECT_EQ(state.failed, 0U);
  EXPECT_GT(state.cpu_time, state.module_cpu_time);
}

TEST_F(SimulatedFleetTest, RegionConvergesByAPartialOrACompleteListAfterACut) {
  TestFleet::Options options;
  options.layout = Layout::with_zones_of(Target{}, 150, 12);
  options.agents = 3;
  options.with_persisted_list = true;
  options.fleet.groups = 2;
  TestFleet fleet(options);
  start_and_converge(fleet);
  // All gateways started with a persisted list.
  EXPECT_EQ(fleet.usage().discovery.full_lists, 0U);
  const auto day = draw_disruptions(
      fleet.layout(), {.seed = 2, .hours = 1, .compression = 3'600, .target_rate_fraction = 1});
  constexpr std::size_t kCutAgent = 1;
  for (const bool has_history : {true, false}) {
    const FleetUsage before = fleet.usage();
    fleet.with_agent(kCutAgent, [](FakeDiscovery& agent) { agent.set_silent(true); });
    EXPECT_GT(fleet.replay(day, 1'000'000, 250'000), 100U);
    const auto revision =
        fleet.with_agent(0, [](FakeDiscovery& agent) { return agent.revision(); });
    // The gateways of the silent agent are behind.
    EXPECT_LT(fleet.fleet().state().min_revision, revision);
    fleet.with_agent(kCutAgent, [has_history](FakeDiscovery& agent) {
      if (!has_history) {
        agent.forget_history();
      }
      agent.set_silent(false);
    });
    EXPECT_TRUE(fleet.fleet().wait_until(
        [revision](const FleetState& state) { return state.min_revision >= revision; },
        kConvergenceTimeout));
    EXPECT_TRUE(fleet.wait_until_converged(kConvergenceTimeout));
    EXPECT_EQ(fleet.usage().since(before).discovery.full_lists, has_history ? 0U : 4U);
  }
  EXPECT_EQ(fleet.fleet().state().lost_list, 0U);
}

TEST_F(SimulatedFleetTest, MoreGatewaysThanDescriptorsAllowAreRejectedBeforeTheyStart) {
  namespace ip = boost::asio::ip;
  FleetOptions options;
  options.agents = {ip::tcp::endpoint(ip::address_v4::loopback(), 1)};
  options.gateways = raise_descriptor_limit();
  EXPECT_THROW(SimulatedFleet{options}, std::runtime_error);
}

}  // namespace
}  // namespace quota_gateway::scale
