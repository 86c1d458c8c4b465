// Tests the order in which CounterCallQueue writes and removes calls, and which calls without a
// reply it reports as possibly sent.
#include "net/counter/counter_call_queue.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

CounterCall add_call(std::int64_t counter_key, const std::string& command) {
  CounterCall call;
  call.counter_key = counter_key;
  call.created_at = counter_key * 100;
  call.command = command;
  return call;
}

CounterCall ping_call() {
  CounterCall call;
  call.kind = CounterCall::Kind::kPing;
  call.command = "ping";
  return call;
}

void write_all(CounterCallQueue& calls) {
  calls.on_written(calls.begin_write().size());
}

TEST(CounterCallQueue, CommandsAreWrittenOnceAndInOrder) {
  CounterCallQueue calls;
  calls.push(add_call(1, "one"));
  calls.push(add_call(2, "two"));
  EXPECT_FALSE(calls.is_writing());
  EXPECT_EQ(calls.begin_write(), "onetwo");
  EXPECT_TRUE(calls.is_writing());
  calls.push(add_call(3, "three"));
  calls.on_written(6);
  EXPECT_FALSE(calls.is_writing());
  EXPECT_EQ(calls.begin_write(), "three");
  calls.on_written(5);
  EXPECT_EQ(calls.begin_write(), "");
  EXPECT_FALSE(calls.is_writing());
}

TEST(CounterCallQueue, CallsAreRemovedInTheOrderInWhichTheyWereAdded) {
  CounterCallQueue calls;
  EXPECT_TRUE(calls.empty());
  EXPECT_EQ(calls.oldest_created_at(), std::nullopt);
  calls.push(add_call(1, "one"));
  calls.push(add_call(2, "two"));
  EXPECT_EQ(calls.size(), 2U);
  EXPECT_EQ(calls.oldest_created_at(), 100);
  EXPECT_EQ(calls.pop().counter_key, 1);
  EXPECT_EQ(calls.oldest_created_at(), 200);
  EXPECT_EQ(calls.pop().counter_key, 2);
  EXPECT_TRUE(calls.empty());
}

TEST(CounterCallQueue, ACallThatTimesOutBeforeItIsWrittenIsRemoved) {
  CounterCallQueue calls;
  const std::uint64_t first = calls.push(add_call(1, "one"));
  calls.push(add_call(2, "two"));
  const std::optional<UnansweredCall> timed_out = calls.time_out(first);
  ASSERT_TRUE(timed_out);
  EXPECT_EQ(timed_out->call.counter_key, 1);
  EXPECT_FALSE(timed_out->possibly_sent);
  EXPECT_FALSE(calls.time_out(first));
  EXPECT_EQ(calls.begin_write(), "two");
}

TEST(CounterCallQueue, ACallThatTimesOutAfterItIsWrittenKeepsItsPlaceForTheLateReply) {
  // If the call were removed, its late reply would be taken for the reply to the next call.
  CounterCallQueue calls;
  const std::uint64_t first = calls.push(add_call(1, "one"));
  calls.push(add_call(2, "two"));
  write_all(calls);
  const std::optional<UnansweredCall> timed_out = calls.time_out(first);
  ASSERT_TRUE(timed_out);
  EXPECT_TRUE(timed_out->possibly_sent);
  EXPECT_TRUE(timed_out->call.needs_reply());
  EXPECT_FALSE(calls.time_out(first));
  const CounterCall late = calls.pop();
  EXPECT_EQ(late.counter_key, 1);
  EXPECT_FALSE(late.needs_reply());
  EXPECT_TRUE(calls.pop().needs_reply());
}

TEST(CounterCallQueue, AnEndedCallDoesNotTimeOut) {
  CounterCallQueue calls;
  const std::uint64_t first = calls.push(add_call(1, "one"));
  write_all(calls);
  calls.pop();
  EXPECT_FALSE(calls.time_out(first));
}

TEST(CounterCallQueue, OnlyWrittenCommandsArePossiblySentWhenTheConnectionEnds) {
  CounterCallQueue calls;
  calls.push(add_call(1, "one"));
  calls.push(add_call(2, "two"));
  calls.begin_write();
  calls.push(add_call(3, "three"));
  calls.on_written(5);  // the write failed within the second command
  const std::vector<UnansweredCall> unanswered = calls.end_connection();
  ASSERT_EQ(unanswered.size(), 3U);
  EXPECT_TRUE(unanswered[0].possibly_sent);
  EXPECT_FALSE(unanswered[1].possibly_sent);
  EXPECT_FALSE(unanswered[2].possibly_sent);
  EXPECT_TRUE(calls.empty());
}

TEST(CounterCallQueue, CommandsOfAWriteInProgressArePossiblySentWhenTheConnectionEnds) {
  CounterCallQueue calls;
  calls.push(add_call(1, "one"));
  write_all(calls);
  calls.push(add_call(2, "two"));
  calls.begin_write();
  const std::vector<UnansweredCall> unanswered = calls.end_connection();
  ASSERT_EQ(unanswered.size(), 2U);
  EXPECT_TRUE(unanswered[0].possibly_sent);
  EXPECT_TRUE(unanswered[1].possibly_sent);
  EXPECT_FALSE(calls.is_writing());
}

TEST(CounterCallQueue, ByteOffsetsRestartWithEachConnection) {
  CounterCallQueue calls;
  calls.push(add_call(1, "a long command"));
  write_all(calls);
  calls.end_connection();
  calls.push(add_call(2, "two"));
  calls.begin_write();
  calls.on_written(2);
  const std::vector<UnansweredCall> unanswered = calls.end_connection();
  ASSERT_EQ(unanswered.size(), 1U);
  EXPECT_FALSE(unanswered[0].possibly_sent);
}

TEST(CounterCallQueue, PingsAndTimedOutCallsNeedNoReply) {
  CounterCallQueue calls;
  EXPECT_FALSE(calls.any_needs_reply());
  calls.push(ping_call());
  EXPECT_FALSE(calls.any_needs_reply());
  const std::uint64_t number = calls.push(add_call(1, "one"));
  EXPECT_TRUE(calls.any_needs_reply());
  write_all(calls);
  calls.time_out(number);
  EXPECT_FALSE(calls.any_needs_reply());
}

}  // namespace
}  // namespace quota_gateway::net::testing
