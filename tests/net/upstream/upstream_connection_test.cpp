// Parses responses on a connection without a socket.
#include "net/upstream/upstream_connection.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "support/http_messages.hpp"

namespace quota_gateway::net::testing {
namespace {

class UpstreamConnectionTest : public ::testing::Test {
 protected:
  UpstreamConnectionTest() { connection.begin_response(); }

  bool parse(const std::string& text) {
    connection.received.append(text.data(), text.size());
    return connection.parse_received();
  }
  std::size_t field_count() {
    const auto& fields = connection.parser->get();
    return std::size_t(std::distance(fields.begin(), fields.end()));
  }

  boost::asio::io_context io;
  UpstreamConnection connection{io};
};

TEST_F(UpstreamConnectionTest, MovesTheBodyAndTheHeaderValuesIntoTheResult) {
  connection.first_byte_at = 17;
  ASSERT_TRUE(parse(http_response(
      "200 OK", "Billed-Units: 3\r\nUsage-Percent: 86\r\nEndpoint-Load-Metrics: queue=2\r\n",
      "body")));
  const AttemptResult result = connection.take_result();
  EXPECT_EQ(result.outcome, Outcome::kOk);
  EXPECT_EQ(result.body, "body");
  EXPECT_TRUE(connection.parser->get().body().empty());
  EXPECT_EQ(result.first_byte_at, 17);
  EXPECT_EQ(result.billed_units, 3);
  EXPECT_EQ(result.quota_usage_percent, 86);
  EXPECT_EQ(result.load.queued, 2);
}

TEST_F(UpstreamConnectionTest, TheBodyOfAnErrorIsNotInItsResult) {
  ASSERT_TRUE(parse(http_response("500 Error", "Usage-Percent: 86\r\n", "body")));
  const AttemptResult result = connection.take_result();
  EXPECT_EQ(result.outcome, Outcome::kError);
  EXPECT_TRUE(result.body.empty());
  EXPECT_EQ(result.quota_usage_percent, 86);
}

TEST_F(UpstreamConnectionTest, AnInterimResponseIsNoFinalHead) {
  ASSERT_TRUE(parse("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
  EXPECT_FALSE(connection.is_final_head_done());
}

// Guards against parsed fields that stay in memory while the body goes on.
TEST_F(UpstreamConnectionTest, KeepsNoFieldsOfAHeadOrOfTrailers) {
  ASSERT_FALSE(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\na:b\r\na:b\r\n\r\n"));
  EXPECT_TRUE(connection.is_final_head_done());
  EXPECT_EQ(field_count(), 0U);
  ASSERT_TRUE(parse(chunk("body") + "0\r\na:b\r\na:b\r\n\r\n"));
  EXPECT_EQ(field_count(), 0U);
  EXPECT_EQ(connection.take_result().body, "body");
}

TEST_F(UpstreamConnectionTest, IsReusableUnlessTheHeadSaysOtherwise) {
  ASSERT_TRUE(parse(http_response("200 OK", "", "body")));
  EXPECT_TRUE(connection.is_reusable());
  connection.begin_response();
  ASSERT_TRUE(parse(http_response("200 OK", "Connection: close\r\n", "body")));
  EXPECT_FALSE(connection.is_reusable());
}

}  // namespace
}  // namespace quota_gateway::net::testing
