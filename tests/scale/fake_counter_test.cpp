// Tests of FakeCounter with the real counter client and with raw commands.
#include "fake_counter.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "net/counter/counter_client.hpp"
#include "net/event_loop/timers.hpp"
#include "scale_test_support.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::run_until;

constexpr Micros kLifetime = 4'000'000;

std::string encode_command(const std::vector<std::string>& words) {
  std::ostringstream out;
  out << '*' << words.size() << "\r\n";
  for (const auto& word : words) {
    out << '$' << word.size() << "\r\n" << word << "\r\n";
  }
  return out.str();
}

class FakeCounterTest : public ::testing::Test {
 protected:
  void start_counter(const FakeCounter::Options& options) {
    counter.emplace(io, options);
    client = std::make_shared<net::CounterClient>(
        io, timers, clock, counter->address(), 5'000'000, 250'000,
        [this](CounterReply reply) { replies.push_back(reply); });
    client->start();
  }
  // Sends a call and waits for its reply.
  CounterReply add(std::int64_t key, double amount, Micros lifetime = kLifetime) {
    const std::size_t expected = replies.size() + 1;
    client->add({key, amount, lifetime});
    EXPECT_TRUE(wait_for_replies(expected));
    return replies.empty() ? CounterReply{} : replies.back();
  }
  bool wait_for_replies(std::size_t count) {
    return run_until(io, [&] { return replies.size() >= count; });
  }

  asio::io_context io;
  net::Clock clock;
  net::Timers timers{io, clock};
  std::optional<FakeCounter> counter;
  std::shared_ptr<net::CounterClient> client;
  std::vector<CounterReply> replies;
};

TEST_F(FakeCounterTest, AddsByKeyAndExpiresTotals) {
  constexpr Micros kShortLifetime = 1'000;
  start_counter({});
  EXPECT_DOUBLE_EQ(add(9, 2.5).total, 2.5);
  EXPECT_DOUBLE_EQ(add(9, -1).total, 1.5);
  EXPECT_DOUBLE_EQ(add(8, 1e9).total, 1e9);
  EXPECT_EQ(counter->counts().keys, 2U);
  EXPECT_DOUBLE_EQ(add(7, 1, kShortLifetime).total, 1);
  ASSERT_TRUE(run_until(
      io, [&] { return add(7, 1, kShortLifetime).total == 1 && counter->counts().keys >= 3; }));
  ASSERT_TRUE(run_until(io, [&] { return counter->counts().keys == 0; }));
}

TEST_F(FakeCounterTest, RejectsCallsOverItsRateAndUntilItAcceptsCalls) {
  start_counter({.calls_per_second = 100, .max_queue_time = 50'000, .accepts_calls = false});
  EXPECT_EQ(add(1, 1).outcome, CounterOutcome::kNotAdded);
  counter->accept_calls();
  EXPECT_EQ(add(1, 1).outcome, CounterOutcome::kOk);
  replies.clear();
  for (int i = 0; i < 40; ++i) {
    client->add({1, 1, kLifetime});
  }
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 40; }));
  const auto added = std::count_if(replies.begin(), replies.end(), [](const CounterReply& reply) {
    return reply.outcome == CounterOutcome::kOk;
  });
  // The queue holds the calls of 50 ms at 100 calls per second.
  EXPECT_GE(added, 5);
  EXPECT_LT(added, 40);
  EXPECT_EQ(counter->counts().rejected, 1U + 40U - std::uint64_t(added));
  // Rejected calls added nothing.
  EXPECT_DOUBLE_EQ(add(1, 0).total, 1 + double(added));
}

TEST_F(FakeCounterTest, CallsToAShardThatIsDownWaitAndKeepTheirOrder) {
  start_counter({.shards = 1});
  counter->set_shard_down(0, true);
  for (int i = 1; i <= 3; ++i) {
    client->add({i, double(i), kLifetime});
  }
  ASSERT_TRUE(run_until(io, [&] { return counter->counts().calls == 3; }));
  EXPECT_TRUE(replies.empty());
  counter->set_shard_down(0, false);
  ASSERT_TRUE(run_until(io, [&] { return replies.size() == 3; }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_DOUBLE_EQ(replies[std::size_t(i)].total, i + 1);
  }
}

TEST_F(FakeCounterTest, RepliesAsTheProtocolSpecifies) {
  start_counter({});
  tcp::socket socket(io);
  socket.connect(counter->address());
  const std::string commands =
      encode_command({"PING"}) + encode_command({"CLIENT", "SETNAME", "x"}) +
      encode_command({"SELECT", "0"}) + encode_command({"CNT.ADD", "n", "-2.5", "4000"}) +
      encode_command({"CNT.ADD", "n", "2e9", "4000"}) +
      encode_command({"CNT.ADD", std::string(65, 'n'), "1", "4000"}) +
      encode_command({"CNT.ADD", "n", "1", "0"}) + encode_command({"GET", "n"}) +
      encode_command({"PING"});
  asio::write(socket, asio::buffer(commands));
  const std::string expected =
      "+PONG\r\n+OK\r\n+OK\r\n$4\r\n-2.5\r\n"
      "-ERR no such call\r\n-ERR no such call\r\n-ERR no such call\r\n-ERR no such call\r\n"
      "+PONG\r\n";
  std::string received;
  bool is_read = false;
  asio::async_read(socket, asio::dynamic_buffer(received, expected.size()),
                   [&](auto, auto) { is_read = true; });
  ASSERT_TRUE(run_until(io, [&] { return is_read; }));
  EXPECT_EQ(received, expected);
}

}  // namespace
}  // namespace quota_gateway::scale
