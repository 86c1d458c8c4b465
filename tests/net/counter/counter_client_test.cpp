// Tests CounterClient with a FakeCounter on loopback. Both run in the test's event loop.
#include "net/counter/counter_client.hpp"

#include <gtest/gtest.h>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

class CounterClientTest : public ::testing::Test {
 protected:
  void start_client(Micros call_timeout = 5'000'000) {
    address = fake->address();
    counter =
        std::make_shared<CounterClient>(io, timers, clock, address, call_timeout, 250'000,
                                        [this](CounterReply reply) { replies.push_back(reply); });
    counter->start();
  }
  // Adds to a counter and waits for the reply.
  CounterReply add(std::int64_t counter_key, double amount = 1) {
    const auto expected_replies = replies.size() + 1;
    counter->add({counter_key, amount, 4'000'000});
    EXPECT_EQ(replies.size(), expected_replies - 1);  // never from within the call
    EXPECT_TRUE(run_until(io, [&] { return replies.size() == expected_replies; }));
    return replies.empty() ? CounterReply{} : replies.back();
  }
  // Repeats a call until it succeeds, because the client reconnects only after its backoff.
  bool next_call_succeeds_eventually() {
    for (int i = 0; i < 10'000; ++i) {
      if (add(77).outcome == CounterOutcome::kOk) {
        return true;
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return false;
  }
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  tcp::endpoint address;
  std::optional<FakeCounter> fake{std::in_place, io};
  std::shared_ptr<CounterClient> counter;
  std::vector<CounterReply> replies;
};

TEST_F(CounterClientTest, RepliesWithTheNewTotal) {
  start_client();
  EXPECT_DOUBLE_EQ(add(9, 2.5).total, 2.5);
  const CounterReply reply = add(9, -1);
  EXPECT_EQ(reply.outcome, CounterOutcome::kOk);
  EXPECT_DOUBLE_EQ(reply.total, 1.5);
  EXPECT_EQ(reply.key, 9);
  EXPECT_EQ(fake->calls.at(0), (std::vector<std::string>{"CNT.ADD", "9", "2.5", "4000"}));
  EXPECT_EQ(fake->peers.size(), 1U);
}

TEST_F(CounterClientTest, ARejectedCallIsReportedAsNotAdded) {
  start_client();
  fake->reply_override = "-BUSY later\r\n";
  EXPECT_EQ(add(1).outcome, CounterOutcome::kNotAdded);
  fake->reply_override = "-ERR no such call\r\n";
  EXPECT_EQ(add(1).outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ACallAfterTheCounterHasStoppedIsReportedAsNotAdded) {
  start_client();
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  fake->stop();
  CounterOutcome outcome = CounterOutcome::kUnknown;
  while (outcome == CounterOutcome::kUnknown) {  // only for a call on the connection that was reset
    outcome = add(1).outcome;
  }
  EXPECT_EQ(outcome, CounterOutcome::kNotAdded);
}

TEST_F(CounterClientTest, ACallOnAConnectionThatIsResetIsReportedAsUnknown) {
  start_client();
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  fake->silent = true;
  counter->add({1, 1, 4'000'000});
  ASSERT_TRUE(run_until(io, [&] { return fake->calls.size() == 2; }));
  fake->last_peer->reset();
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 2; }));
  EXPECT_EQ(replies[1].outcome, CounterOutcome::kUnknown);
}

TEST_F(CounterClientTest, ALateReplyIsDroppedAndNotTakenForThatOfTheNextCall) {
  start_client(100'000);
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  fake->silent = true;
  EXPECT_EQ(add(2).outcome, CounterOutcome::kUnknown);
  fake->silent = false;
  counter->add({3, 5, 4'000'000});
  fake->last_peer->write("$3\r\n222\r\n");  // the reply to call 2, after its timeout
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 3; }));
  EXPECT_EQ(replies[2].key, 3);
  // On a busy machine, the test may be suspended for longer than the call timeout; the call then
  // times out.
  if (replies[2].outcome == CounterOutcome::kOk) {
    EXPECT_DOUBLE_EQ(replies[2].total, 5);
  }
}

TEST_F(CounterClientTest, ReconnectsToACounterThatStopsResponding) {
  // Otherwise the client would wait forever on a connection to a counter that no longer exists.
  start_client(20'000);
  ASSERT_TRUE(next_call_succeeds_eventually());
  fake->silent = true;
  const auto connections_before = fake->peers.size();
  EXPECT_EQ(add(1).outcome, CounterOutcome::kUnknown);
  ASSERT_TRUE(run_until(io, [&] { return fake->peers.size() > connections_before; }));
  EXPECT_LE(fake->peers.size(), connections_before + 2);  // reconnects with a backoff
  fake->silent = false;
  EXPECT_TRUE(next_call_succeeds_eventually());
}

TEST_F(CounterClientTest, ReconnectsToARestartedCounter) {
  start_client();
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  fake->stop();
  ASSERT_TRUE(run_until(io, [&] { return add(1).outcome == CounterOutcome::kNotAdded; }));
  fake.reset();
  fake.emplace(io, address);
  EXPECT_TRUE(next_call_succeeds_eventually());
  EXPECT_EQ(fake->peers.size(), 1U);
}

TEST_F(CounterClientTest, AReplyWithoutATotalEndsTheConnection) {
  // Otherwise a later reply could be attributed to another customer's counter.
  start_client();
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  std::size_t expected_connections = 1;
  for (const char* invalid_reply :
       {"$3\r\nnan\r\n", "$-1\r\n", ":12\r\n", "+OK\r\n", "-ODD\r\n", "$0\r\n\r\n"}) {
    fake->reply_override = invalid_reply;
    EXPECT_EQ(add(1).outcome, CounterOutcome::kUnknown) << invalid_reply;
    fake->reply_override.reset();
    ASSERT_TRUE(next_call_succeeds_eventually()) << invalid_reply;
    EXPECT_EQ(fake->peers.size(), ++expected_connections) << invalid_reply;
  }
}

TEST_F(CounterClientTest, CloseWhenIdleWaitsForTheRepliesToCallsInFlight) {
  // Otherwise calls in flight would be lost, or counted twice, when the counter's address changes.
  start_client();
  ASSERT_EQ(add(1).outcome, CounterOutcome::kOk);
  fake->silent = true;
  counter->add({1, 4, 4'000'000});
  ASSERT_TRUE(run_until(io, [&] { return fake->calls.size() == 2; }));
  counter->close_when_idle();
  EXPECT_EQ(add(2).outcome, CounterOutcome::kNotAdded);  // accepts no further calls
  fake->last_peer->write("$1\r\n5\r\n");
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 3; }));
  EXPECT_EQ(replies[2].outcome, CounterOutcome::kOk);
  EXPECT_DOUBLE_EQ(replies[2].total, 5);
  EXPECT_TRUE(run_until(io, [&] { return fake->peers[0]->closed; }));
  EXPECT_EQ(fake->peers.size(), 1U);
}

TEST_F(CounterClientTest, CloseWhenIdleClosesOnceCallsInFlightTimeOut) {
  start_client(50'000);
  ASSERT_TRUE(next_call_succeeds_eventually());
  fake->silent = true;
  counter->add({1, 4, 4'000'000});
  counter->close_when_idle();
  EXPECT_TRUE(run_until(io, [&] { return fake->last_peer->closed; }));
}

TEST_F(CounterClientTest, AnInvalidReplyLeavesItsCallUnknownAndTheNextConnectionWorks) {
  // Includes totals that are not finite numbers, and stated lengths that a parser might allocate.
  start_client();
  for (const char* invalid_reply :
       {"$3\r\nnan\r\n", "$3\r\ninf\r\n", "$4\r\n12x4\r\n", "$-1\r\n", ":12\r\n", "+OK\r\n",
        "*2147483647\r\n", "*2\r\n:1\r\n:2\r\n", "$99999999999\r\n", "nonsense\r\n",
        "$3\r\n1.5\r\n$3\r\n1.5\r\n"}) {
    ASSERT_TRUE(next_call_succeeds_eventually()) << invalid_reply;
    fake->reply_override = invalid_reply;
    const auto outcome = add(1).outcome;
    EXPECT_TRUE(outcome == CounterOutcome::kUnknown ||
                std::string(invalid_reply).substr(4, 3) == "1.5")
        << invalid_reply;
    fake->reply_override.reset();
  }
  EXPECT_TRUE(next_call_succeeds_eventually());
}

}  // namespace
}  // namespace quota_gateway::net::testing
