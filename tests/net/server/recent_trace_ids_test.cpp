// RecentTraceIds: the latest ids, no more than its limit, and no memory but that of its
// construction.
#include "net/server/recent_trace_ids.hpp"

#include <gtest/gtest.h>
#include <malloc.h>

#include <cstddef>
#include <string>

namespace quota_gateway::net {
namespace {

TEST(RecentTraceIds, KeepsTheLatestIdsOnly) {
  RecentTraceIds ids;
  for (std::size_t i = 0; i <= RecentTraceIds::kMaxIds; ++i) {
    ids.add(std::to_string(i));
    ids.add(std::to_string(i));  // counts once
  }
  EXPECT_FALSE(ids.contains("0"));
  EXPECT_TRUE(ids.contains("1"));
  EXPECT_TRUE(ids.contains(std::to_string(RecentTraceIds::kMaxIds)));
}

// Guards against errors after several rounds of the ring.
TEST(RecentTraceIds, KeepsTheLatestIdsForEver) {
  constexpr std::size_t kAdded = 3 * RecentTraceIds::kMaxIds + 7;
  RecentTraceIds ids;
  for (std::size_t i = 0; i < kAdded; ++i) {
    ids.add(std::to_string(i));
  }
  for (std::size_t i = 0; i < kAdded; ++i) {
    EXPECT_EQ(ids.contains(std::to_string(i)), i >= kAdded - RecentTraceIds::kMaxIds) << i;
  }
}

// Guards against an id that is lost because the system has no memory, and against small blocks that
// outlive their requests, which keep the pages between them from being returned.
TEST(RecentTraceIds, AllocatesNothingForAnId) {
  RecentTraceIds ids;
  const std::size_t bytes = ::mallinfo2().uordblks;
  for (std::size_t i = 0; i < 2 * RecentTraceIds::kMaxIds; ++i) {
    ids.add(std::to_string(i));
  }
  EXPECT_EQ(::mallinfo2().uordblks, bytes);
}

}  // namespace
}  // namespace quota_gateway::net
