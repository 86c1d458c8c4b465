#include "net/server/failed_request_log.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kNow = 1'000'000;

Request request_with(std::uint64_t id, RequestStep last_step) {
  Request request;
  request.id = id;
  request.timeline.add(RequestStep::kReceived, 0);
  request.timeline.add(RequestStep::kAttemptBegun, 0);
  request.timeline.add(last_step, 0);
  return request;
}

// Guards against an aborted response without a line, because a client has left shortly before.
TEST(FailedRequestLog, AClientThatLeavesDoesNotHideAnAbortedResponse) {
  FailedRequestLog log;
  ::testing::internal::CaptureStderr();
  std::uint64_t id = 0;
  for (const RequestStep last_step :
       {RequestStep::kClientLeft, RequestStep::kClientLeft, RequestStep::kAnswered,
        RequestStep::kResponseAborted, RequestStep::kResponseAborted}) {
    log.on_failed(request_with(++id, last_step), kNow);
  }
  const std::string text = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(text.find("request 1 "), std::string::npos) << text;
  EXPECT_EQ(text.find("request 2 "), std::string::npos) << text;
  EXPECT_NE(text.find("request 3 "), std::string::npos) << text;
  EXPECT_NE(text.find("request 4 "), std::string::npos) << text;
  EXPECT_EQ(text.find("request 5 "), std::string::npos) << text;
}

}  // namespace
}  // namespace quota_gateway::net::testing
