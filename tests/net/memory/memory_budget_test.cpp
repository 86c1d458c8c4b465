// MemoryBudget with a process whose figures the test states.
#include "net/memory/memory_budget.hpp"

#include <gtest/gtest.h>

#include "support/stated_memory.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kLimit = 32 << 20;

TEST(MemoryBudget, WithoutALimitThereIsNoPressure) {
  MemoryBudget budget;
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
  EXPECT_TRUE(budget.admits(RequestLength::kLong));
  EXPECT_EQ(budget.used_bytes(), 0U);
}

TEST(MemoryBudget, PressureFollowsTheShareOfTheLimitThatIsUsed) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit / 2);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
  memory.allocate(kLimit / 6);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kHigh);
  memory.allocate(kLimit / 6);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
  memory.free(kLimit / 2);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
}

TEST(MemoryBudget, RejectsLongRequestsFirstAndCountsRejections) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit * 2 / 3);
  EXPECT_TRUE(budget.admits(RequestLength::kShort));
  EXPECT_FALSE(budget.admits(RequestLength::kLong));
  memory.allocate(kLimit / 6);
  EXPECT_FALSE(budget.admits(RequestLength::kShort));
  EXPECT_EQ(budget.rejected_requests(), 2U);
}

TEST(MemoryBudget, RejectsRequestsWhileTheReserveIsInUse) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.stated_reserve = {.bytes = 1'000, .used_bytes = 100};
  EXPECT_EQ(budget.pressure(), MemoryPressure::kHigh);
  memory.stated_reserve.used_bytes = 200;
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
  memory.stated_reserve.used_bytes = 0;
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
}

// Guards against a limit on anonymous memory alone.
TEST(MemoryBudget, FilesCountAgainstTheLimit) {
  StatedMemory memory;
  memory.file_bytes = kLimit / 2;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit / 3);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
}

// Guards against memory that the allocator keeps and nobody counts.
TEST(MemoryBudget, FreeBlocksThatCannotBeReturnedCountAgainstTheLimit) {
  StatedMemory memory;
  memory.returns_free_blocks = false;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit * 9 / 10);
  memory.free(kLimit * 9 / 10);
  memory.allocate(kLimit / 32);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
}

TEST(MemoryBudget, ReturnsFreeBlocksUnderPressure) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit * 9 / 10);
  memory.free(kLimit * 9 / 10);
  memory.allocate(kLimit / 32);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
  EXPECT_EQ(memory.releases, 1);
}

TEST(MemoryBudget, ReturnsFreeBlocksAtIntervalsOnlyIfTheyAreMany) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit / 4);
  memory.free(kLimit / 100);
  budget.release_free_blocks();
  EXPECT_EQ(memory.releases, 0);
  memory.free(kLimit / 8);
  budget.release_free_blocks();
  EXPECT_EQ(memory.releases, 1);
  budget.release_free_blocks();
  EXPECT_EQ(memory.releases, 1);
}

// Guards against an old and a new process that together exceed the limit of their gateway.
TEST(MemoryBudget, TheProcessesOfAHotRestartShareTheLimit) {
  StatedMemory memory;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit / 2);
  budget.share_among(2);
  EXPECT_EQ(budget.limit_bytes(), kLimit / 2);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
  budget.share_among(1);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
}

TEST(MemoryBudget, CountsAllocatedBytesIfTheResidentOnesAreUnknown) {
  StatedMemory memory;
  memory.is_resident_known = false;
  MemoryBudget budget(memory, kLimit);
  memory.allocate(kLimit * 9 / 10);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kCritical);
  memory.free(kLimit * 9 / 10);
  EXPECT_EQ(budget.pressure(), MemoryPressure::kNone);
}

}  // namespace
}  // namespace quota_gateway::net::testing
