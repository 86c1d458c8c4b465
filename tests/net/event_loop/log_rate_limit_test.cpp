// LogRateLimit: one line of a fault that goes on, then none for a while.
#include "net/event_loop/log_rate_limit.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(LogRateLimit, ALineIsAllowedOnceMoreThanTheIntervalHasPassed) {
  LogRateLimit limit;
  EXPECT_TRUE(limit.try_log(0));
  EXPECT_FALSE(limit.try_log(LogRateLimit::kMinInterval));
  EXPECT_TRUE(limit.try_log(LogRateLimit::kMinInterval + 1));
  EXPECT_FALSE(limit.try_log(LogRateLimit::kMinInterval + 2));
}

TEST(LogRateLimit, ALineThatWasLoggedWithoutAskingCounts) {
  LogRateLimit limit;
  limit.on_logged(5);
  EXPECT_FALSE(limit.try_log(5 + LogRateLimit::kMinInterval));
  EXPECT_TRUE(limit.try_log(6 + LogRateLimit::kMinInterval));
}

}  // namespace
}  // namespace quota_gateway::net::testing
