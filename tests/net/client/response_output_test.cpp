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

// Guards against written responses that stay in memory (review/6 and docs/known-issues.md).
TEST(ResponseOutput, AWrittenResponseIsFreed) {
  ResponseOutput output;
  output.set_response({200, std::nullopt, std::string(5'000, 'x')}, ConnectionUse::kKeepAlive);
  EXPECT_GT(output.allocated_bytes(), 5'000U);
  output.release_memory();
  EXPECT_TRUE(output.bytes().empty());
  EXPECT_LT(output.allocated_bytes(), 100U);
}

TEST(ResponseOutput, TheRestOfAnInterimResponsePrecedesTheResponse) {
  ResponseOutput output;
  output.set_interim("HTTP/1.1 100 Continue\r\n\r\n");
  output.on_interim_sent(3);
  output.set_response({}, ConnectionUse::kClose);
  EXPECT_TRUE(output.bytes().starts_with("P/1.1 100 Continue\r\n\r\nHTTP/1.1 502"));
  EXPECT_TRUE(output.interim_rest().empty());
}

}  // namespace
}  // namespace quota_gateway::net
