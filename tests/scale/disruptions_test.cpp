// Tests of draw_disruptions() and Layout.
#include "disruptions.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "layout.hpp"

namespace quota_gateway::scale {
namespace {

// Whether a count fits a Poisson distribution with this mean, within five standard deviations.
bool fits_mean(std::size_t count, double mean) {
  return std::abs(double(count) - mean) < 5 * std::sqrt(mean);
}

bool changes_server(const Disruption& disruption) {
  return disruption.cause != Cause::kRegion && disruption.cause != Cause::kConfiguration;
}

// Returns the change of the same server that must precede this one.
Change change_before(const Disruption& disruption) {
  if (disruption.change == Change::kUp) {
    return Change::kDown;
  }
  if (disruption.change == Change::kDown && disruption.cause == Cause::kRestart) {
    return Change::kDraining;
  }
  return Change::kUp;
}

TEST(DisruptionsTest, DrawsTheTargetsCountsInTimeOrder) {
  const Target target;
  const Layout layout = Layout::with_zones_of(target, target.servers, target.gateways);
  const auto day = draw_disruptions(layout, {.seed = 3});
  ASSERT_TRUE(std::is_sorted(
      day.begin(), day.end(),
      [](const Disruption& left, const Disruption& right) { return left.at < right.at; }));
  std::map<std::pair<Cause, Change>, std::size_t> counts;
  for (const Disruption& disruption : day) {
    ++counts[{disruption.cause, disruption.change}];
  }
  const std::size_t restarts = counts[{Cause::kRestart, Change::kDraining}];
  EXPECT_TRUE(fits_mean(restarts, target.restarts_per_day));
  EXPECT_EQ((counts[{Cause::kRestart, Change::kDown}]), restarts);
  EXPECT_EQ((counts[{Cause::kRestart, Change::kUp}]), restarts);
  EXPECT_TRUE(fits_mean(counts[{Cause::kConfiguration, Change::kSettingsChanged}],
                        target.config_changes_per_day));
  // A machine holds several servers, and some may be down already when the machine fails.
  const std::size_t lost_with_machine = counts[{Cause::kMachine, Change::kDown}];
  EXPECT_TRUE(fits_mean(lost_with_machine / kServersPerMachine, target.failures_per_day))
      << lost_with_machine;
  EXPECT_EQ(lost_with_machine, (counts[{Cause::kMachine, Change::kUp}]));
}

TEST(DisruptionsTest, DependsOnTheSeedAndScalesWithServersAndCompression) {
  const Layout layout = Layout::with_zones_of(Target{}, 17'000, 740);
  const auto day = draw_disruptions(layout, {.seed = 3, .compression = 60});
  EXPECT_EQ(day, draw_disruptions(layout, {.seed = 3, .compression = 60}));
  EXPECT_NE(day, draw_disruptions(layout, {.seed = 4, .compression = 60}));
  const auto restarts = std::count_if(day.begin(), day.end(), [](const Disruption& disruption) {
    return disruption.cause == Cause::kRestart && disruption.change == Change::kUp;
  });
  // A tenth of the target's servers over a complete day.
  EXPECT_NEAR(double(restarts), 1400, 5 * std::sqrt(1400.0));
  EXPECT_LT(day.back().at, Micros(30 * 3600e6 / 60));
}

TEST(DisruptionsTest, ChangesOfEachServerAreConsistent) {
  const Layout layout = Layout::with_zones_of(Target{}, 2'000, 20);
  // The target's full rates on few servers, so that several causes affect the same server.
  const auto day = draw_disruptions(layout, {.seed = 5, .target_rate_fraction = 1});
  std::vector<Change> last_changes(layout.servers, Change::kUp);
  for (const Disruption& disruption : day) {
    if (!changes_server(disruption)) {
      continue;
    }
    Change& last_change = last_changes.at(disruption.subject);
    EXPECT_EQ(last_change, change_before(disruption));
    last_change = disruption.change;
  }
  EXPECT_TRUE(std::all_of(last_changes.begin(), last_changes.end(),
                          [](Change change) { return change == Change::kUp; }));
}

TEST(LayoutTest, ServersAreSpreadEvenly) {
  const Layout layout = Layout::with_zones_of(Target{}, 170'000, 7'400);
  std::map<std::size_t, std::size_t> servers_by_zone;
  std::map<std::size_t, std::size_t> servers_by_rack;
  for (std::size_t server = 0; server < layout.servers; ++server) {
    ++servers_by_zone[layout.zone(server)];
    ++servers_by_rack[layout.rack(server)];
  }
  ASSERT_EQ(servers_by_zone.size(), 7U);
  EXPECT_EQ(servers_by_rack.size(), layout.racks());
  for (const auto& [zone, servers] : servers_by_zone) {
    EXPECT_NEAR(double(servers), 170'000 / 7.0, 1);
  }
  for (const auto& [rack, servers] : servers_by_rack) {
    EXPECT_LE(servers, kServersPerRack);
  }
}

}  // namespace
}  // namespace quota_gateway::scale
