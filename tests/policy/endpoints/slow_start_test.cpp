// Tests that recently started servers get a growing part of their full load while they warm up.
#include "policy/endpoints/slow_start.hpp"

#include <gtest/gtest.h>

#include <cstddef>

#include "policy/endpoints/load_balancer.hpp"
#include "quota_gateway/gateway.hpp"
#include "support/endpoint_lists.hpp"
#include "support/gateway_fleet.hpp"
#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

using policy::Endpoint;
using policy::LoadBalancer;
using policy::SlowStart;

TEST(SlowStart, WarmingServerGetsOneRequestPerWindowUntilThePeerRateIsKnown) {
  Settings settings = basic_settings();
  settings.slow_start_min_fraction = 0.2;
  settings.slow_start_duration = 15 * kSecond;
  settings.slow_start_overload_factor = 2;
  settings.slow_start_overload_window = kSecond;
  auto endpoints = make_endpoints({"a"});
  endpoints[0].started_at = 1;
  GatewayHarness gateway(settings, endpoints);
  gateway.count_admitted(kMillisecond, 5);
  EXPECT_EQ(attempts(gateway.actions()).size(), 1U);
}

// Sixty servers behind a hundred gateways, which together serve 500 requests per second. Six in ten
// of the servers restart at the same time.
class SlowStartOfManyServers : public ::testing::Test {
 protected:
  static constexpr int kServers = 60;
  static constexpr int kRestarted = 36;  // the first of them
  static constexpr double kMinFraction = 0.26;
  static constexpr double kDurationSeconds = 17;
  static constexpr double kOverloadFactor = 2.5;
  static constexpr int kRoundsPerSecond = 5;
  static constexpr Micros kInterval = kSecond / kRoundsPerSecond;

  SlowStartOfManyServers() {
    fleet_.run_rounds(1, 50, kInterval, always_ok);
    const Micros restarted_at = next_round_ * kInterval;
    auto restarted =
        make_endpoints({fleet_.endpoints().begin(), fleet_.endpoints().begin() + kRestarted});
    for (EndpointEntry& endpoint : restarted) {
      endpoint.started_at = restarted_at;
    }
    fleet_.broadcast(restarted_at, partial_update(restarted));
  }

  void run_one_second() {
    fleet_.reset_usage();
    fleet_.run_rounds(next_round_, next_round_ + kRoundsPerSecond - 1, kInterval, always_ok);
    next_round_ += kRoundsPerSecond;
  }

  int attempts_at(int server) const {
    return fleet_.attempts_at(fleet_.endpoints()[std::size_t(server)]);
  }

 private:
  static Settings slow_start_settings() {
    Settings settings = basic_settings();
    settings.slow_start_min_fraction = kMinFraction;
    settings.slow_start_duration = Micros(kDurationSeconds) * kSecond;
    settings.slow_start_overload_factor = kOverloadFactor;
    settings.slow_start_overload_window = kSecond;
    return settings;
  }

  GatewayFleet fleet_{100, kServers, slow_start_settings()};
  int next_round_ = 51;
};

TEST_F(SlowStartOfManyServers, AllServersAreWarmedUpWithoutOverload) {
  // Guards against two faults. Each gateway's share of a server's budget is less than one request,
  // so it might never be used; or all gateways might use their shares at the same time.
  double to_warming_up = 0;  // attempts per server
  double to_warm = 0;
  for (int second = 0; second < 8; ++second) {
    run_one_second();
    int forwarded = 0;
    for (int server = 0; server < kServers; ++server) {
      const int received = attempts_at(server);
      forwarded += received;
      const bool warming_up = server < kRestarted;
      // Assumes that a warm server can handle at least 13 requests per second. Before the restart,
      // each of the 60 servers is sent 8 and can handle 13.
      if (warming_up) {
        EXPECT_LE(received, kOverloadFactor * 13 *
                                (kMinFraction + (1 - kMinFraction) * second / kDurationSeconds));
      }
      if (second >= 4) {
        (warming_up ? to_warming_up : to_warm) +=
            double(received) / (warming_up ? kRestarted : kServers - kRestarted);
      }
    }
    EXPECT_GE(forwarded, 475) << second;  // of 500
  }
  // Each of the fourteen gateways that share a server waits more than a second between requests to
  // it.
  EXPECT_GT(to_warming_up, 0.2 * to_warm);
}

TEST(SlowStart, CapacityGrowsWithAgeFromTheMinimumFraction) {
  const Settings settings = fleet_settings(1);  // from 0.2, in 60 s
  const SlowStart slow_start(settings);
  Endpoint endpoint;
  EXPECT_EQ(slow_start.warmup_fraction(kSecond, endpoint), 1);  // start time 0: warm
  endpoint.entry.started_at = 100 * kSecond;
  EXPECT_EQ(slow_start.warmup_fraction(100 * kSecond, endpoint), 0.2);
  EXPECT_DOUBLE_EQ(slow_start.warmup_fraction(130 * kSecond, endpoint), 0.6);
  EXPECT_EQ(slow_start.warmup_fraction(160 * kSecond, endpoint), 1);
  EXPECT_EQ(slow_start.warmup_fraction(200 * kSecond, endpoint), 1);
  EXPECT_EQ(slow_start.warmup_fraction(99 * kSecond, endpoint), 0.2);  // clocks differ
}

TEST(SlowStart, WorkOfAWarmingEndpointStillCountsAfterItReturnsToTheSubset) {
  Settings settings = fleet_settings(1'000);
  settings.slow_start_duration = 400 * kSecond;
  // Sixty gateways share each endpoint, so that each gateway may send it one request per 600 s.
  settings.slow_start_overload_window = 10 * kSecond;
  LoadBalancer load_balancer(settings, 1);
  load_balancer.update_endpoints(0, complete_list(fleet_endpoints(0, 100)));
  EndpointEntry warming = load_balancer.subset(0).front()->entry;
  warming.started_at = kSecond;
  load_balancer.update_endpoints(kSecond, partial_update({warming}));
  Endpoint* endpoint = load_balancer.subset(kSecond).front();
  ASSERT_EQ(endpoint->entry.server, warming.server);
  ASSERT_TRUE(load_balancer.slow_start_admits(kSecond, *endpoint, 0.02));
  load_balancer.on_attempt_sent(kSecond, *endpoint, 0.02);
  --endpoint->open_references;
  settings.gateway_index += 300;
  load_balancer.on_settings_changed();
  for (int second = 2; second < 200; ++second) {
    load_balancer.on_period(second * kSecond);
    for (const Endpoint* other : load_balancer.subset(second * kSecond)) {
      ASSERT_NE(other->entry.server, warming.server);
    }
  }
  settings.gateway_index -= 300;
  load_balancer.on_settings_changed();
  endpoint = load_balancer.subset(200 * kSecond).front();
  ASSERT_EQ(endpoint->entry.server, warming.server);
  EXPECT_FALSE(load_balancer.slow_start_admits(200 * kSecond, *endpoint, 0.02));
}

}  // namespace
}  // namespace quota_gateway::testing
