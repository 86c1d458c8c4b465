#include "net/memory/memory_reserve.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kPageBytes = 4 << 10;
constexpr std::size_t kRegionBytes = 64 << 10;

class MemoryReserveTest : public ::testing::Test {
 protected:
  alignas(kPageBytes) std::array<std::byte, kRegionBytes> region{};
  MemoryReserve reserve{region};
};

TEST_F(MemoryReserveTest, TakesBackAllBlocksInAnyOrder) {
  for (int round = 0; round < 3; ++round) {
    std::vector<void*> blocks;
    while (void* const block = reserve.allocate(1'000, alignof(std::max_align_t))) {
      EXPECT_TRUE(reserve.contains(block));
      EXPECT_GE(reserve.block_bytes(block), 1'000U);
      blocks.push_back(block);
    }
    EXPECT_GT(blocks.size() * 1'000, kRegionBytes * 9 / 10);
    for (std::size_t i = 0; i < blocks.size(); i += 2) {
      reserve.free(blocks[i]);
    }
    for (std::size_t i = 1; i < blocks.size(); i += 2) {
      reserve.free(blocks[i]);
    }
    EXPECT_EQ(reserve.used_bytes(), 0U);
  }
}

TEST_F(MemoryReserveTest, AlignsBlocks) {
  constexpr std::size_t kAlignment = 256;
  void* const block = reserve.allocate(100, kAlignment);
  ASSERT_NE(block, nullptr);
  EXPECT_EQ(reinterpret_cast<std::uintptr_t>(block) % kAlignment, 0U);
  EXPECT_TRUE(reserve.contains(block));
}

TEST_F(MemoryReserveTest, ContainsNoBlocksOfOthers) {
  const int other = 0;
  EXPECT_FALSE(reserve.contains(&other));
  EXPECT_FALSE(reserve.contains(region.data() + region.size()));
}

}  // namespace
}  // namespace quota_gateway::net
