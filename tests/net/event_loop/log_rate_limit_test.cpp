// LogRateLimit: after a log line, no further line is allowed until the interval has passed.
#include "net/event_loop/log_rate_limit.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(LogRateLimit, ALineIsAllowedAfterMoreThanTheInterval) {
  LogRateLimit limit;
  EXPECT_TRUE(limit.try_log(0));
  EXPECT_FALSE(limit.try_log(LogRateLimit::kMinInterval));
  EXPECT_TRUE(limit.try_log(LogRateLimit::kMinInterval + 1));
  EXPECT_FALSE(limit.try_log(LogRateLimit::kMinInterval + 2));
}

TEST(LogRateLimit, ALineLoggedWithoutTryLogStartsTheInterval) {
  LogRateLimit limit;
  limit.on_logged(5);
  EXPECT_FALSE(limit.try_log(5 + LogRateLimit::kMinInterval));
  EXPECT_TRUE(limit.try_log(6 + LogRateLimit::kMinInterval));
}

}  // namespace
}  // namespace quota_gateway::net::testing
