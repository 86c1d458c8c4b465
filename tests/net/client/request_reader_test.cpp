// RequestReader: parsing the bytes of a connection into requests.
#include "net/client/request_reader.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net {
namespace {

Settings test_settings() {
  Settings settings;
  settings.gateway_count = 1;
  settings.max_request_units = 100;
  ClassSettings write;
  write.name = "write";
  settings.classes = {write};
  PlanSettings plan;
  plan.name = "team";
  settings.plans = {plan};
  return settings;
}

std::string request_head(std::size_t content_length) {
  return "POST /write/0000000000000001 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: t1\r\n"
         "Plan: team\r\nX-Expires-In: 480m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
         "Content-Length: " +
         std::to_string(content_length) + "\r\n\r\n";
}

class RequestReaderTest : public ::testing::Test {
 protected:
  // Passes `input` to the reader and parses until a message is ready or more input is needed.
  RequestReader::Progress feed(const std::string& input) {
    reader.append_input(input.data(), input.size(), 0);
    if (!reader.is_message_open()) {
      reader.start_message();
    }
    auto progress = RequestReader::Progress::kNeedsInput;
    while (reader.has_input()) {
      progress = reader.advance();
      if (progress != RequestReader::Progress::kAdvanced) {
        return progress;
      }
    }
    return RequestReader::Progress::kNeedsInput;
  }

  Settings settings = test_settings();
  RequestReader reader{settings};
};

TEST_F(RequestReaderTest, ARequestIsReadyOnceItsBodyIsComplete) {
  EXPECT_EQ(feed(request_head(5)), RequestReader::Progress::kNeedsInput);
  EXPECT_TRUE(reader.has_valid_head());
  EXPECT_EQ(feed("hello+next"), RequestReader::Progress::kMessageReady);
  const ClientRequest request = reader.take_request();
  EXPECT_EQ(request.forwarded.body, "hello");
  EXPECT_TRUE(request.forwarded.body_complete);
  EXPECT_EQ(request.forwarded.content_length, 5U);
  EXPECT_FALSE(reader.is_body_incomplete());
  EXPECT_EQ(reader.buffered_bytes(), 5U);  // "+next" belongs to the next message
}

TEST_F(RequestReaderTest, ALongBodyIsDeliveredInPieces) {
  const std::string beginning(kMaxBufferedBodyBytes + 1, 'x');
  feed(request_head(beginning.size() + 4));
  EXPECT_EQ(feed(beginning), RequestReader::Progress::kMessageReady);
  EXPECT_EQ(reader.take_request().forwarded.body, beginning);
  EXPECT_TRUE(reader.is_body_incomplete());
  EXPECT_FALSE(reader.take_body_piece().has_value());

  reader.append_input("ab", 2, 0);
  const auto piece = reader.take_body_piece();
  ASSERT_TRUE(piece.has_value());
  EXPECT_EQ(piece->bytes, "ab");
  EXPECT_FALSE(piece->is_last);

  reader.append_input("cd", 2, 0);
  const auto last = reader.take_body_piece();
  ASSERT_TRUE(last.has_value());
  EXPECT_EQ(last->bytes, "cd");
  EXPECT_TRUE(last->is_last);
  EXPECT_FALSE(reader.is_message_open());
}

TEST_F(RequestReaderTest, AHeadAboveTheSizeLimitIsRejected) {
  try {
    feed("GET /" + std::string(std::size_t{9} << 10, 'x'));
    FAIL();
  } catch (const HttpError& e) {
    EXPECT_EQ(e.status(), boost::beast::http::status::payload_too_large);
  }
}

TEST_F(RequestReaderTest, AHealthCheckNeedsNoHeaders) {
  EXPECT_EQ(feed("GET /_health HTTP/1.0\r\n\r\n"), RequestReader::Progress::kMessageReady);
  EXPECT_TRUE(reader.is_health_check());
  EXPECT_FALSE(reader.keeps_alive());
}

// Guards against input that stays in memory after it was parsed (review/6).
TEST_F(RequestReaderTest, ParsedInputIsFreed) {
  const std::string body(60'000, 'x');
  feed(request_head(body.size()) + body);
  reader.take_request();
  EXPECT_LT(reader.allocated_bytes(), 10'000U);
}

// Guards against a body that takes twice its size (review/6).
TEST_F(RequestReaderTest, AnIncompleteBodyTakesLittleMoreThanItsSize) {
  constexpr std::size_t kReadBytes = 10'000;
  feed(request_head(65'000));
  for (std::size_t received = 0; received < 60'000; received += kReadBytes) {
    feed(std::string(kReadBytes, 'x'));
  }
  EXPECT_LT(reader.allocated_bytes(), 60'000U + (20 << 10));
}

TEST_F(RequestReaderTest, ASmallerLimitMakesALongBodyReadyEarlier) {
  RequestReader small(settings, {.max_body_bytes = 1'000});
  const std::string input = request_head(5'000) + std::string(1'001, 'x');
  small.append_input(input.data(), input.size(), 0);
  small.start_message();
  while (small.advance() == RequestReader::Progress::kAdvanced) {
  }
  EXPECT_EQ(small.body_space(), 0U);
  const ClientRequest request = small.take_request();
  EXPECT_EQ(request.forwarded.body.size(), 1'001U);
  EXPECT_FALSE(request.forwarded.body_complete);
}

}  // namespace
}  // namespace quota_gateway::net
