// Tests WatchResponseParser with HTTP responses that arrive in pieces of any size.
#include "net/discovery/watch_response_parser.hpp"

#include <gtest/gtest.h>

#include "net/discovery/watch_disconnect.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::string_view kHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

Micros retry_after(const std::string& value) {
  WatchResponseParser parser;
  parser.consume("HTTP/1.1 503 Service Unavailable\r\n" + value + "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(parser.status(), 503U);
  return parser.retry_after();
}

TEST(WatchResponseParser, ReturnsTheBodyAsItArrives) {
  WatchResponseParser parser;
  parser.consume(kHeader);
  ASSERT_TRUE(parser.is_header_done());
  EXPECT_EQ(parser.status(), 200U);
  EXPECT_EQ(parser.take_body(), "");
  parser.consume("3\r\nabc\r\n");
  EXPECT_EQ(parser.take_body(), "abc");
  EXPECT_EQ(parser.take_body(), "");
  parser.consume("2\r\nde\r\n");
  EXPECT_EQ(parser.take_body(), "de");
  EXPECT_FALSE(parser.is_done());
  parser.consume("0\r\n\r\n");
  EXPECT_TRUE(parser.is_done());
}

TEST(WatchResponseParser, AcceptsAResponseByteByByte) {
  WatchResponseParser parser;
  std::string body;
  for (const char byte : std::string(kHeader) + "3\r\nabc\r\n2\r\nde\r\n") {
    parser.consume({&byte, 1});
    if (parser.is_header_done()) {
      body += parser.take_body();
    }
  }
  EXPECT_EQ(body, "abcde");
  EXPECT_FALSE(parser.is_done());
}

TEST(WatchResponseParser, ABodyMayExceedTheDefaultBodyLimit) {
  // A watch that lasts for days sends more than the parser's default limit of 8 MB.
  WatchResponseParser parser;
  parser.consume(kHeader);
  const std::string piece = "100000\r\n" + std::string(0x100000, 'x') + "\r\n";
  std::size_t body_size = 0;
  for (int i = 0; i < 16; ++i) {
    parser.consume(piece);
    body_size += parser.take_body().size();
  }
  EXPECT_EQ(body_size, std::size_t(16) << 20);
}

TEST(WatchResponseParser, ThrowsOnNonHttpData) {
  WatchResponseParser parser;
  try {
    parser.consume("SSH-2.0-OpenSSH_9.2\r\n\r\n");
    FAIL() << "did not throw";
  } catch (const WatchResponseError& e) {
    EXPECT_EQ(e.reason(), WatchDisconnectReason::kInvalidResponse);
  }
}

TEST(WatchResponseParser, RetryAfterIsHonouredUpToThirtySeconds) {
  EXPECT_EQ(retry_after("Retry-After: 0.5\r\n"), 500'000);
  EXPECT_EQ(retry_after("Retry-After: 30\r\n"), 30'000'000);
  EXPECT_EQ(retry_after("Retry-After: 31\r\n"), 30'000'000);
}

TEST(WatchResponseParser, AMissingOrInvalidRetryAfterIsZero) {
  EXPECT_EQ(retry_after(""), 0);
  EXPECT_EQ(retry_after("Retry-After: soon\r\n"), 0);
  EXPECT_EQ(retry_after("Retry-After: -1\r\n"), 0);
}

}  // namespace
}  // namespace quota_gateway::net::testing
