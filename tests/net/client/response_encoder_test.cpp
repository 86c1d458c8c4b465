// The encoding of responses to clients.
#include "net/client/response_encoder.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net {
namespace {

TEST(ResponseEncoder, ACompleteResponseHasItsLengthAndBody) {
  EXPECT_EQ(encode_response({200, std::nullopt, "ok\n"}, ConnectionUse::kKeepAlive),
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n");
}

TEST(ResponseEncoder, RetryAfterIsInSecondsAndAtLeastAMillisecond) {
  EXPECT_EQ(encode_response({429, 1'234'567, ""}, ConnectionUse::kKeepAlive),
            "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 1.235\r\n\r\n");
  EXPECT_EQ(encode_response({503, 1, ""}, ConnectionUse::kClose),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.001\r\n"
            "Connection: close\r\n\r\n");
}

TEST(ResponseEncoder, ABodyOfUnknownLengthIsChunkedUnlessTheClientUsesHttp10) {
  EXPECT_EQ(choose_body_delimiter(5, HttpVersion::kHttp11), BodyDelimiter::kContentLength);
  EXPECT_EQ(choose_body_delimiter(5, HttpVersion::kHttp10), BodyDelimiter::kContentLength);
  EXPECT_EQ(choose_body_delimiter(std::nullopt, HttpVersion::kHttp11), BodyDelimiter::kChunked);
  EXPECT_EQ(choose_body_delimiter(std::nullopt, HttpVersion::kHttp10),
            BodyDelimiter::kConnectionClose);
}

TEST(ResponseEncoder, AStreamedHeadAnnouncesHowItsBodyIsDelimited) {
  EXPECT_EQ(encode_streamed_head(70'000, BodyDelimiter::kContentLength, ConnectionUse::kKeepAlive),
            "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n");
  EXPECT_EQ(encode_streamed_head(std::nullopt, BodyDelimiter::kChunked, ConnectionUse::kKeepAlive),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  EXPECT_EQ(
      encode_streamed_head(std::nullopt, BodyDelimiter::kConnectionClose, ConnectionUse::kClose),
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
}

}  // namespace
}  // namespace quota_gateway::net
