// Tests of ListProgress, which tracks a simulated gateway's progress with discovery's list.
#include "list_progress.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "layout.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kStart = 1'000;

EndpointEntry entry(std::size_t server, EndpointState state) {
  EndpointEntry listed;
  listed.server = server_id(server);
  listed.state = state;
  return listed;
}

class ListProgressTest : public ::testing::Test {
 protected:
  // Receives a list and applies its entries immediately.
  void apply(std::int64_t revision, const std::vector<EndpointEntry>& entries, std::size_t up_count,
             Micros now) {
    progress.on_list_received(revision);
    progress.on_entries(entries);
    progress.on_lists_applied(up_count, now);
  }

  ListProgress progress{2, kStart};
};

TEST_F(ListProgressTest, HasNoListAtFirst) {
  EXPECT_FALSE(progress.has_had_list());
  EXPECT_EQ(progress.revision(), 0);
  progress.on_list_received(5);
  EXPECT_EQ(progress.revision(), 0);
}

TEST_F(ListProgressTest, MeasuresTheTimeToTheFirstListWithAServerThatIsUp) {
  apply(5, {entry(0, EndpointState::kDraining)}, 0, kStart + 10);
  EXPECT_FALSE(progress.has_had_list());
  apply(6, {entry(0, EndpointState::kUp)}, 1, kStart + 30);
  EXPECT_EQ(progress.time_to_first_list(), 30);
  EXPECT_EQ(progress.applied_at(), kStart + 30);
  EXPECT_FALSE(progress.lost_list());
}

TEST_F(ListProgressTest, HasLostItsListOnceNoServerIsUp) {
  apply(5, {entry(0, EndpointState::kUp)}, 1, kStart + 10);
  apply(6, {entry(0, EndpointState::kRemoved)}, 0, kStart + 20);
  EXPECT_TRUE(progress.lost_list());
  apply(7, {entry(0, EndpointState::kUp)}, 1, kStart + 30);
  EXPECT_TRUE(progress.lost_list());
}

TEST_F(ListProgressTest, ConvergesWhenExactlyTheExpectedServersAreUp) {
  progress.expect(std::make_shared<UpServers>(UpServers{true, true}), kStart);
  apply(5, {entry(0, EndpointState::kUp)}, 1, kStart + 10);
  EXPECT_FALSE(progress.converged_at());
  apply(6, {entry(1, EndpointState::kUp)}, 2, kStart + 20);
  EXPECT_EQ(progress.converged_at(), kStart + 20);
  // The time of the first convergence is kept.
  apply(7, {entry(1, EndpointState::kDraining)}, 1, kStart + 30);
  EXPECT_EQ(progress.converged_at(), kStart + 20);
}

TEST_F(ListProgressTest, ConvergesImmediatelyIfTheExpectationAlreadyHolds) {
  apply(5, {entry(0, EndpointState::kUp)}, 1, kStart + 10);
  progress.expect(std::make_shared<UpServers>(UpServers{true, false}), kStart + 40);
  EXPECT_EQ(progress.converged_at(), kStart + 40);
  progress.expect(std::make_shared<UpServers>(UpServers{false, true}), kStart + 50);
  EXPECT_FALSE(progress.converged_at());
}

}  // namespace
}  // namespace quota_gateway::scale
