// Which requests behind the one in progress are recognised, and their times.
#include "net/client/pipelined_requests.hpp"

#include <gtest/gtest.h>

#include <string>

#include "support/http_messages.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST(PipelinedRequests, EachCompleteRequestIsFoundWithItsTime) {
  const std::string first = get_request("a");
  const std::string second = post_request("b", "300m");
  const std::string incomplete = post_request("c").substr(0, post_request("c").size() - 1);
  const auto requests = find_pipelined_requests(first + second + incomplete);
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].end, first.size());
  EXPECT_EQ(requests[0].timeout, 4'000'000);
  EXPECT_EQ(requests[1].end, first.size() + second.size());
  EXPECT_EQ(requests[1].timeout, 300'000);
}

TEST(PipelinedRequests, NamesOfFieldsHaveAnyCaseAndValuesAnySpace) {
  const auto requests = find_pipelined_requests(
      "POST /x HTTP/1.1\r\ncontent-LENGTH: \t2 \r\nx-expires-in:15000u\r\n\r\nab");
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].timeout, 15'000);
}

TEST(PipelinedRequests, ARequestWithoutATimeIsPassedOver) {
  const std::string health_check = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto requests = find_pipelined_requests(health_check + get_request("a"));
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].end, health_check.size() + get_request("a").size());
}

TEST(PipelinedRequests, TheSearchEndsAtARequestWhoseEndIsNotKnown) {
  const std::string chunked = post_head("Transfer-Encoding: chunked") + "0\r\n\r\n";
  EXPECT_EQ(find_pipelined_requests(get_request("a") + chunked + get_request("b")).size(), 1U);
  const std::string invalid = post_head("Content-Length: -1");
  EXPECT_EQ(find_pipelined_requests(get_request("a") + invalid + get_request("b")).size(), 1U);
}

// Guards against a crash on a request that is sent ahead with an empty time.
TEST(PipelinedRequests, TheSearchEndsAtAnEmptyTime) {
  const std::string empty = "GET /x HTTP/1.1\r\nX-Expires-In:\r\n\r\n";
  EXPECT_EQ(find_pipelined_requests(get_request("a") + empty + get_request("b")).size(), 1U);
}

TEST(PipelinedRequests, TheSearchHasALimit) {
  std::string input;
  while (input.size() < 2 * kMaxLookAheadBytes) {
    input += get_request("a");
  }
  const auto requests = find_pipelined_requests(input);
  EXPECT_EQ(requests.size(), kMaxLookAheadBytes / get_request("a").size());
}

}  // namespace
}  // namespace quota_gateway::net::testing
