// Tests of ChangeHistory: which changes the fake discovery agent retains.
#include "change_history.hpp"

#include <gtest/gtest.h>

#include <set>

namespace quota_gateway::scale {
namespace {

using Servers = std::set<ChangeHistory::ServerIndex>;

TEST(ChangeHistoryTest, ReturnsEachServerChangedSinceARevisionOnce) {
  ChangeHistory history(10, 100);
  history.record(11, {1, 2});
  history.record(12, {2, 3});
  EXPECT_EQ(history.changed_since(10), (Servers{1, 2, 3}));
  EXPECT_EQ(history.changed_since(11), (Servers{2, 3}));
  EXPECT_EQ(history.changed_since(12), Servers{});
}

TEST(ChangeHistoryTest, ForgetsTheOldestChangesBeyondMaxEntries) {
  ChangeHistory history(10, 3);
  history.record(11, {1});
  history.record(12, {1, 2});
  EXPECT_TRUE(history.covers(10));
  history.record(13, {5});
  EXPECT_FALSE(history.covers(10));
  EXPECT_TRUE(history.covers(11));
}

TEST(ChangeHistoryTest, CountsEntriesSinceACoveredRevision) {
  ChangeHistory history(10, 100);
  history.record(11, {1, 2});
  history.record(12, {2, 3});
  EXPECT_TRUE(history.has_at_most_since(10, 4));
  EXPECT_FALSE(history.has_at_most_since(10, 3));
  EXPECT_TRUE(history.has_at_most_since(12, 0));
  EXPECT_FALSE(history.has_at_most_since(9, 100));
}

TEST(ChangeHistoryTest, DoesNotCoverRevisionsBeforeForgottenChanges) {
  ChangeHistory history(10, 100);
  history.record(11, {1});
  history.forget(11);
  EXPECT_FALSE(history.covers(10));
  EXPECT_TRUE(history.covers(11));
}

}  // namespace
}  // namespace quota_gateway::scale
