// Tests ListRetryPolicy: the traffic allowance of rejected endpoint lists and the waits until the
// next request and the next read.
#include "net/discovery/list_retry_policy.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kStart = 1'000'000'000;
constexpr std::size_t kLargeList = 8 << 20;

class ListRetryPolicyTest : public ::testing::Test {
 protected:
  void fail(Micros now, std::size_t bytes = kLargeList,
            ListFailure failure = ListFailure::kTooLarge) {
    policy.on_failure(policy.read_scope(now), bytes, failure, now);
  }
  ListLimits limits;
  ListRetryPolicy policy{limits, 7};
};

TEST_F(ListRetryPolicyTest, RejectedBytesWithinTheAllowanceRestrictNothing) {
  EXPECT_FALSE(policy.is_restricted());
  fail(kStart, limits.unrestricted_bytes, ListFailure::kMalformed);
  EXPECT_FALSE(policy.is_restricted());
  EXPECT_EQ(policy.read_scope(kStart), ListReadScope::kUnlimited);
  fail(kStart, 1, ListFailure::kMalformed);
  EXPECT_TRUE(policy.is_restricted());
  EXPECT_EQ(policy.read_scope(kStart), ListReadScope::kProbe);
}

TEST_F(ListRetryPolicyTest, ConsecutiveUnfinishedListsRestrictEvenIfTheyAreSmall) {
  for (int i = 1; i < limits.max_unfinished_lists; ++i) {
    fail(kStart, 100, ListFailure::kUnfinished);
  }
  EXPECT_FALSE(policy.is_restricted());
  fail(kStart, 100, ListFailure::kUnfinished);
  EXPECT_TRUE(policy.is_restricted());
  policy.on_partial_list();
  EXPECT_FALSE(policy.is_restricted());
}

TEST_F(ListRetryPolicyTest, ListsOfAnySizeAreReadAgainWithWaitsThatDouble) {
  Micros now = kStart;
  Micros last_wait = limits.initial_wait / 2;
  for (int i = 0; i < 5; ++i) {
    fail(now);
    Micros wait = 0;
    while (policy.read_scope(now + wait) != ListReadScope::kUnlimited) {
      wait += 10'000;
    }
    // The wait grows by a random part of up to a half.
    EXPECT_GE(wait, 2 * last_wait);
    EXPECT_LE(wait, 3 * last_wait + 10'000);
    last_wait *= 2;
    now += wait;
  }
}

TEST_F(ListRetryPolicyTest, RequestsWhileRestrictedAreAtMostFourSecondsApart) {
  fail(kStart);
  for (int i = 0; i < 20; ++i) {
    const Micros wait = policy.next_wait(kStart);
    EXPECT_GE(wait, 0);
    EXPECT_LE(wait, limits.max_request_interval);
  }
  const Micros grown_wait = policy.next_wait(kStart);
  EXPECT_GE(grown_wait, limits.max_request_interval / 2);
}

TEST_F(ListRetryPolicyTest, EachScopeHasAByteLimit) {
  EXPECT_EQ(policy.max_bytes(ListReadScope::kProbe), limits.probe_bytes);
  EXPECT_EQ(policy.max_bytes(ListReadScope::kSmallList), limits.small_list_bytes);
  EXPECT_GT(policy.max_bytes(ListReadScope::kUnlimited), kLargeList);
}

TEST_F(ListRetryPolicyTest, AnAcceptedCompleteListClearsAllFailures) {
  fail(kStart);
  ASSERT_TRUE(policy.is_restricted());
  policy.reset();
  EXPECT_FALSE(policy.is_restricted());
  EXPECT_EQ(policy.read_scope(kStart), ListReadScope::kUnlimited);
}

TEST(ListLimits, AListGetsASixthOfTheMemory) {
  EXPECT_EQ(list_limits_for_memory(192).memory_bytes, std::size_t(32) << 20);
}

}  // namespace
}  // namespace quota_gateway::net::testing
