// ReceiveBuffer: its bytes, and the memory that it holds for them.
#include "net/http/receive_buffer.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kPieceBytes = 10'000;
constexpr int kPieces = 50;

void append(ReceiveBuffer& buffer, const std::string& text) {
  buffer.append(text.data(), text.size());
}

TEST(ReceiveBuffer, ConsumesFromTheFront) {
  ReceiveBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  append(buffer, "GET /");
  append(buffer, " HTTP/1.1");
  buffer.consume(4);
  EXPECT_EQ(buffer.view(), "/ HTTP/1.1");
  buffer.consume(buffer.size());
  EXPECT_TRUE(buffer.empty());
}

// Guards against buffers of twice the size of what they hold.
TEST(ReceiveBuffer, GrowsByWhatArrives) {
  ReceiveBuffer buffer;
  for (int i = 0; i < kPieces; ++i) {
    append(buffer, std::string(kPieceBytes, 'x'));
    EXPECT_LE(buffer.allocated_bytes(), buffer.size() + ReceiveBuffer::kMaxUnusedBytes);
  }
}

// Guards against requests sent ahead that leave the memory of all of them behind.
TEST(ReceiveBuffer, GivesMemoryBackAsBytesAreConsumed) {
  ReceiveBuffer buffer;
  append(buffer, std::string(kPieces * kPieceBytes, 'x'));
  while (!buffer.empty()) {
    buffer.consume(kPieceBytes);
    EXPECT_LE(buffer.allocated_bytes(), buffer.size() + ReceiveBuffer::kMaxUnusedBytes);
  }
}

TEST(ReceiveBuffer, ReleaseFreesTheMemory) {
  ReceiveBuffer buffer;
  append(buffer, std::string(kPieceBytes, 'x'));
  buffer.release();
  EXPECT_TRUE(buffer.empty());
  EXPECT_EQ(buffer.allocated_bytes(), 0U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
