// ResponseOutput: the bytes of complete and streamed responses.
#include "net/client/response_output.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net {
namespace {

TEST(ResponseOutput, ACompleteResponseIsNotStreamed) {
  ResponseOutput output;
  output.set_response({200, std::nullopt, "ok\n"}, ConnectionUse::kClose);
  EXPECT_EQ(output.bytes(),
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n");
  EXPECT_EQ(output.connection_use(), ConnectionUse::kClose);
  EXPECT_FALSE(output.is_streaming());
}

TEST(ResponseOutput, AChunkedBodyEndsWithTheLastChunk) {
  ResponseOutput output;
  output.begin_stream(std::nullopt, BodyDelimiter::kChunked, ConnectionUse::kKeepAlive, "hello");
  EXPECT_EQ(output.bytes(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  EXPECT_TRUE(output.is_streaming());
  output.set_piece("abc");
  EXPECT_EQ(output.bytes(), "3\r\nabc\r\n");
  output.end_stream();
  EXPECT_EQ(output.bytes(), "0\r\n\r\n");
  EXPECT_FALSE(output.is_streaming());
}

// An empty chunk would end the body, so an empty first piece must not be encoded as a chunk.
TEST(ResponseOutput, AnEmptyFirstPieceIsNotEncodedAsAChunk) {
  ResponseOutput output;
  output.begin_stream(std::nullopt, BodyDelimiter::kChunked, ConnectionUse::kKeepAlive, "");
  EXPECT_EQ(output.bytes(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

TEST(ResponseOutput, ABodyOfKnownLengthIsNotEncodedAndHasNoEndMarker) {
  ResponseOutput output;
  output.begin_stream(8, BodyDelimiter::kContentLength, ConnectionUse::kKeepAlive, "hello");
  EXPECT_EQ(output.bytes(), "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhello");
  output.set_piece("abc");
  EXPECT_EQ(output.bytes(), "abc");
  output.end_stream();
  EXPECT_EQ(output.bytes(), "");
}

TEST(ResponseOutput, AnAbortedStreamIsNoLongerStreamed) {
  ResponseOutput output;
  output.begin_stream(8, BodyDelimiter::kContentLength, ConnectionUse::kKeepAlive, "hello");
  output.abort_stream();
  EXPECT_FALSE(output.is_streaming());
}

TEST(ResponseOutput, OnlyABufferAboveTheLimitIsCleared) {
  ResponseOutput output;
  output.set_response({200, std::nullopt, std::string(5'000, 'x')}, ConnectionUse::kKeepAlive);
  output.release_memory(10'000);
  EXPECT_GT(output.bytes().size(), 5'000U);
  output.release_memory(4'096);
  EXPECT_TRUE(output.bytes().empty());
}

}  // namespace
}  // namespace quota_gateway::net
