// Tests that two processes of one gateway, which serve side by side during a hot restart, divide
// the limits of the gateway.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

// A ceiling of 20 units per second and a burst of 40 units, split between two gateways.
Settings settings_with_ceiling() {
  Settings settings = basic_settings();
  set_ceiling(settings, 20, 40);
  return settings;
}

TEST(PeerProcesses, ParentAndChildTogetherStayWithinOneShareOfTheCeiling) {
  Settings settings = settings_with_ceiling();
  set_quota(settings, 1000, 1000);
  GatewayHarness parent(settings);
  GatewayHarness child(settings);
  parent.receive_request(kMillisecond, "first");
  EXPECT_EQ(parent.count_admitted(10 * kSecond, 15),
            15);  // the share of the gateway holds 20 units
  parent.handle(10 * kSecond, {PeerProcessesChanged{1}});
  child.handle(10 * kSecond, {PeerProcessesChanged{1}});
  int forwarded = 0;
  for (Micros now = 10 * kSecond + kMillisecond; now <= 14 * kSecond; now += 20 * kMillisecond) {
    forwarded += parent.count_admitted(now, 3);
    forwarded += child.count_admitted(now, 3);
  }
  EXPECT_GE(forwarded, 36);
  EXPECT_LE(forwarded, 5 + 40);  // 5 units left over, and 10 per second for 4 s

  child.handle(14 * kSecond, {PeerProcessesChanged{0}});
  forwarded = 0;
  for (Micros now = 14 * kSecond + kMillisecond; now <= 18 * kSecond; now += 20 * kMillisecond) {
    forwarded += child.count_admitted(now, 3);
  }
  EXPECT_GE(forwarded, 36);  // alone, the child gets the complete share
  EXPECT_LE(forwarded, 41);
}

TEST(PeerProcesses, CustomerFirstSeenAfterTheSplitGetsOnlyUnitsRefilledSince) {
  GatewayHarness gateway(settings_with_ceiling());
  RequestArrived other = make_request("other", kSecond);
  other.customer = "c2";
  gateway.handle(kSecond, {other});
  gateway.handle(10 * kSecond, {PeerProcessesChanged{1}});
  // Half of 10 units per second, refilled for 1 s; the peer process may have spent all units from
  // before the split.
  EXPECT_EQ(gateway.count_admitted(11 * kSecond, 20), 5);
}

TEST(PeerProcesses, EachProcessSendsItsShareToAWarmingUpServer) {
  Settings settings = basic_settings();
  set_quota(settings, 1000, 1000);
  settings.gateway_count = 1;
  settings.slow_start_min_fraction = 0.2;
  settings.slow_start_duration = 100 * kSecond;
  settings.slow_start_overload_factor = 2;
  settings.slow_start_overload_window = kSecond;
  auto endpoints = make_endpoints({"a"});
  endpoints[0].started_at = 1;
  const auto forwarded_with_peers = [&](int peer_count) {
    GatewayHarness gateway(settings, endpoints);
    gateway.handle(kMillisecond, {PeerProcessesChanged{peer_count}});
    int forwarded = 0;
    for (Micros now = 2 * kMillisecond; now < 8 * kSecond; now += 100 * kMillisecond) {
      forwarded += gateway.count_admitted(now, 1);
    }
    return forwarded;
  };
  EXPECT_EQ(forwarded_with_peers(0), 8);
  EXPECT_EQ(forwarded_with_peers(1), 4);
}

}  // namespace
}  // namespace quota_gateway::testing
