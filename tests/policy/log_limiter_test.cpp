// Tests that LogLimiter emits one line of each kind per interval.
#include "policy/log_limiter.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace quota_gateway::policy {
namespace {

// The line that the limiter emits at `now`, or an empty string if the limiter drops the line.
std::string logged(LogLimiter& limiter, Micros now, LogKind kind, const std::string& text) {
  std::vector<Action> actions;
  EventContext context{now, actions};
  limiter.log(context, kind, text);
  return actions.empty() ? "" : std::get<LogLine>(actions.front()).text;
}

TEST(LogLimiter, EmitsOneLineOfAKindPerInterval) {
  LogLimiter limiter;
  EXPECT_EQ(logged(limiter, 1, LogKind::kCounter, "first"), "counter: first");
  EXPECT_EQ(logged(limiter, LogLimiter::kInterval, LogKind::kCounter, "second"), "");
  EXPECT_EQ(logged(limiter, 1 + LogLimiter::kInterval, LogKind::kCounter, "third"),
            "counter: third");
}

TEST(LogLimiter, LimitsEachKindSeparately) {
  LogLimiter limiter;
  EXPECT_EQ(logged(limiter, 0, LogKind::kCounter, "text"), "counter: text");
  EXPECT_EQ(logged(limiter, 0, LogKind::kCapacity, "text"), "capacity: text");
  EXPECT_EQ(logged(limiter, 0, LogKind::kEndpoint, "text"), "endpoint: text");
  EXPECT_EQ(logged(limiter, 0, LogKind::kRejections, "text"), "rejected: text");
}

}  // namespace
}  // namespace quota_gateway::policy
