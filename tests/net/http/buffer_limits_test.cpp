// The sizes of buffers by the memory of the process and the number of its clients.
#include "net/http/buffer_limits.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;

TEST(BufferLimits, ABodyIsBufferedCompletelyIfTheMemoryAllowsIt) {
  EXPECT_EQ(buffer_limits(192 * kMegabyte, 504).max_body_bytes, kMaxBufferedBodyBytes);
}

TEST(BufferLimits, AllClientsTogetherStayWithinHalfOfTheMemory) {
  for (const std::size_t megabytes : {32, 48, 64, 128}) {
    for (const std::size_t clients : {120, 250, 504}) {
      const std::size_t body_bytes = buffer_limits(megabytes * kMegabyte, clients).max_body_bytes;
      EXPECT_LE(clients * 2 * body_bytes, megabytes * kMegabyte / 2);
      EXPECT_GE(body_bytes, 8U << 10);
    }
  }
}

TEST(BufferLimits, InputReadAheadFollowsTheMemory) {
  EXPECT_EQ(buffer_limits(32 * kMegabyte, 504).max_total_read_ahead_bytes, 2 * kMegabyte);
  EXPECT_EQ(buffer_limits(192 * kMegabyte, 504).max_total_read_ahead_bytes, 4 * kMegabyte);
}

}  // namespace
}  // namespace quota_gateway::net
