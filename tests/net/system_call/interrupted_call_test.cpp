// Which results of a system call are taken for an interruption.
#include "net/system_call/interrupted_call.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(InterruptedCall, IsRepeatedUntilItIsNotInterrupted) {
  int calls = 0;
  const int result = repeat_if_interrupted([&] {
    errno = EINTR;
    return ++calls < 3 ? -1 : 7;
  });
  EXPECT_EQ(result, 7);
  EXPECT_EQ(calls, 3);
}

TEST(InterruptedCall, AnotherErrorIsReturnedAtOnce) {
  int calls = 0;
  const int result = repeat_if_interrupted([&] {
    ++calls;
    errno = EAGAIN;
    return -1;
  });
  EXPECT_EQ(result, -1);
  EXPECT_EQ(errno, EAGAIN);
  EXPECT_EQ(calls, 1);
}

}  // namespace
}  // namespace quota_gateway::net::testing
