#include "net/server/request_timeline.hpp"

#include <gtest/gtest.h>

#include "net/upstream/response_fault.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST(RequestTimeline, DescribesStepsWithTheirTimes) {
  RequestTimeline timeline;
  timeline.add(RequestStep::kReceived, 1'000'000);
  timeline.add(RequestStep::kAttemptSent, 1'000'400, 0);
  timeline.add(RequestStep::kAttemptEnded, 1'100'000, int(Outcome::kTimeout));
  timeline.add(RequestStep::kAnswered, 1'100'100, 504);
  EXPECT_EQ(timeline.describe(),
            "received, attempt 0 sent +0.4 ms, attempt ended: timeout +100.0 ms, "
            "answered 504 +100.1 ms");
  EXPECT_TRUE(timeline.contains(RequestStep::kAnswered));
  EXPECT_FALSE(timeline.contains(RequestStep::kClientLeft));
}

TEST(RequestTimeline, DescribesWhyAResponseWasAborted) {
  RequestTimeline timeline;
  timeline.add(RequestStep::kResponseStarted, 0);
  timeline.add(RequestStep::kResponseFault, 100, int(ResponseFault::kEndedEarly));
  timeline.add(RequestStep::kResponseAborted, 200);
  EXPECT_EQ(timeline.describe(),
            "response started, the server closed the connection before the end of the response "
            "+0.1 ms, response aborted +0.2 ms");
}

// Guards against a log that lacks the end of a request with many attempts.
TEST(RequestTimeline, KeepsTheLatestStepOfMany) {
  RequestTimeline timeline;
  for (int step = 0; step < 100; ++step) {
    timeline.add(RequestStep::kAttemptSent, step, step);
  }
  timeline.add(RequestStep::kClientLeft, 100);
  EXPECT_TRUE(timeline.contains(RequestStep::kClientLeft));
}

}  // namespace
}  // namespace quota_gateway::net::testing
