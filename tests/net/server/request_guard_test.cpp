#include "net/server/request_guard.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

Request request_with_attempts(int count) {
  Request request;
  for (int i = 0; i < count; ++i) {
    request.attempts.emplace_back();
  }
  request.attempts_in_flight = 1;
  return request;
}

// Guards against a request that runs twice.
TEST(RequestGuard, RefusesToRepeatWhatMayHaveRunUnlessThatIsHarmless) {
  RequestGuard guard;
  Request request = request_with_attempts(2);
  EXPECT_TRUE(guard.may_begin(request, {1, 1}));
  request.is_run_possible = true;
  EXPECT_FALSE(guard.may_begin(request, {1, 1}));
  EXPECT_EQ(guard.violations(), 1U);
  request.may_run_again = true;
  EXPECT_TRUE(guard.may_begin(request, {1, 1}));
  EXPECT_EQ(guard.violations(), 1U);
}

// Guards against two attempts in flight.
TEST(RequestGuard, RefusesAnAttemptBesideAnother) {
  RequestGuard guard;
  Request request = request_with_attempts(2);
  EXPECT_FALSE(guard.may_begin(request, {1, 0}));
  request.attempts_in_flight = 2;
  EXPECT_FALSE(guard.may_begin(request, {1, 1}));
  EXPECT_EQ(guard.violations(), 2U);
}

TEST(RequestGuard, CountsConnectionsThatTheGatewayClosesBeforeTheResponse) {
  RequestGuard guard;
  guard.on_closed(1, {CloseReason::kClientLeft});
  guard.on_closed(1, {CloseReason::kTimedOut});
  EXPECT_EQ(guard.violations(), 0U);
  guard.on_closed(1, {CloseReason::kIdle});
  guard.on_closed(1, {CloseReason::kInterrupted});
  EXPECT_EQ(guard.violations(), 2U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
