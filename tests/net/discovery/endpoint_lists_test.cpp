// Large lists, endless ones and those that trickle, against an agent on loopback.
#include <gtest/gtest.h>

#include "net/discovery/discovery_client.hpp"
#include "support/bytes_sent.hpp"
#include "support/loopback.hpp"
#include "support/process_figures.hpp"

namespace quota_gateway::net::testing {
namespace {

// Answers each call with what `answer` tells: pieces one after another, as fast as the client takes
// them, or `pause` us apart; after an empty one nothing more comes.
class ListAgent : public Listener {
 public:
  using Pieces = std::function<std::string()>;
  ListAgent(asio::io_context& io, Timers& timers, const Clock& clock)
      : Listener(io), timers_(timers), clock_(clock) {}
  std::function<Pieces(const std::string& target)> answer;
  Micros pause = 0;
  std::vector<std::string> asked;
  std::vector<Micros> asked_at;
  void hang_up() {
    for (auto& p : peers) {
      if (!p->socket.is_open()) {
        continue;
      }
      ended_ += bytes_sent(p->socket.native_handle());
      p->reset();
    }
  }
  // On the wire so far, whether the client has read it or not.
  std::uint64_t sent() {
    std::uint64_t out = ended_;
    for (const auto& p : peers) {
      out += p->socket.is_open() ? bytes_sent(p->socket.native_handle()) : 0;
    }
    return out;
  }

 protected:
  void took(Peer& peer, std::string& pending) override {
    if (pending.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    asked.push_back(pending.substr(4, pending.find(" HTTP/") - 4));
    asked_at.push_back(clock_.now());
    pending.clear();
    write(peer.shared_from_this(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          answer(asked.back()));
  }

 private:
  void write(std::shared_ptr<Peer> peer, std::string bytes, Pieces next) {
    auto held = std::make_unique<std::string>(std::move(bytes));
    const auto buffer = asio::buffer(*held);
    asio::async_write(peer->socket, buffer,
                      [this, peer, next = std::move(next), held = std::move(held)](
                          error_code ec, std::size_t) mutable {
                        if (ec) {
                          return end(*peer);
                        }
                        const std::string piece = next();
                        if (piece.empty()) {
                          return;
                        }
                        if (pause == 0) {
                          return write(peer, FakeDiscovery::chunk(piece), std::move(next));
                        }
                        timers_.after(pause, [this, peer, piece, next = std::move(next)]() mutable {
                          write(peer, FakeDiscovery::chunk(piece), std::move(next));
                        });
                      });
  }
  void end(Peer& peer) {
    if (!peer.socket.is_open()) {
      return;
    }
    ended_ += bytes_sent(peer.socket.native_handle());
    peer.close();
  }
  Timers& timers_;
  const Clock& clock_;
  std::uint64_t ended_ = 0;
};

ListAgent::Pieces once(const std::string& text) {
  return
      [text, done = false]() mutable { return std::exchange(done, true) ? std::string() : text; };
}

// Members without end.
ListAgent::Pieces endless(std::int64_t revision, bool complete = true) {
  return [begin = list(revision, complete, ""), some = fleet(100), first = true]() mutable {
    if (!std::exchange(first, false)) {
      return ',' + some;
    }
    return begin.substr(0, begin.rfind(']')) + some;
  };
}

ListAgent::Pieces in_pieces(std::string text, std::size_t size) {
  return [text = std::make_shared<const std::string>(std::move(text)), at = std::size_t(0),
          size]() mutable {
    const std::string piece = text->substr(std::min(at, text->size()), size);
    at += size;
    return piece;
  };
}

// Waits shorter than in service, and bytes a second as many times more.
constexpr int kFaster = 300;
ListLimits faster() {
  ListLimits limits;
  limits.memory_bytes = 256 << 10;
  limits.unrestricted_bytes = 64 << 10;
  limits.small_list_bytes = 32 << 10;
  limits.bytes_per_second *= kFaster;
  limits.initial_wait /= kFaster;
  limits.max_request_interval /= kFaster;
  return limits;
}

class ListsTest : public ::testing::Test {
 protected:
  void start(ListLimits limits = {}) {
    discovery.emplace(io, timers, clock,
                      DiscoveryOptions{.agent = agent.address(), .revision = 41, .limits = limits},
                      DiscoveryCallbacks{.on_update = [this](EndpointList list) {
                        told.push_back(std::move(list));
                      }});
    discovery->start();
  }
  void run(Micros time) {
    bool over = false;
    timers.after(time, [&] { over = true; });
    ASSERT_TRUE(until(io, [&] { return over; }));
  }
  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  ListAgent agent{io, timers, clock};
  std::vector<EndpointList> told;
  std::optional<DiscoveryClient> discovery;
};

TEST_F(ListsTest, AListOf170000IsTakenAtTheFirstCall) {
  // Guards against a list that is dropped for its size or its time and is sent again, 20 times a
  // second.
  const std::string text = list(50, true, fleet(170'000));
  agent.answer = [all = in_pieces(text, 16384)](const std::string&) { return all; };
  const std::size_t before = resident();
  const auto start_time = processor_time();
  Micros turn = clock.now();
  Micros longest = 0;
  start();
  ASSERT_TRUE(until(io, [&] {
    const Micros now = clock.now();
    longest = std::max(longest, now - std::exchange(turn, now));
    return told.size() == 1;
  }));
  std::cout << "170000 members, " << text.size() << " bytes: " << processor_time() - start_time
            << " us with the agent's part, resident " << (resident() - before) / 1024
            << " KiB more, longest turn of the loop " << longest << " us\n";
  EXPECT_EQ(told[0].endpoints.size(), 170'000U);
  EXPECT_EQ(told[0].revision, 50);
  agent.answer = [](const std::string&) { return once("\n"); };
  run(300'000);
  EXPECT_EQ(agent.asked.size(), 1U);
  EXPECT_LT(resident() - before, kMemoryFactor * 40 << 20);
}

TEST_F(ListsTest, ALargeListThatBreaksOffTakesNoEffectAndIsAskedForAtOnce) {
  const std::string text = list(50, true, fleet(60'000));
  agent.answer = [&](const std::string&) -> ListAgent::Pieces {
    if (agent.asked.size() > 1) {
      return in_pieces(text, 16384);
    }
    return in_pieces(text.substr(0, text.size() / 2) + "\n", 16384);
  };
  start();
  ASSERT_TRUE(until(io, [&] { return agent.asked.size() == 2; }));
  EXPECT_TRUE(told.empty());
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(told[0].endpoints.size(), 60'000U);
  EXPECT_EQ(agent.asked.size(), 2U);
  EXPECT_EQ(agent.asked.back(), "/catalog/members?watch=1");
}

TEST_F(ListsTest, AnEndlessListCostsUnderTwoKilobytesASecondOnceWaitsHaveGrown) {
  agent.answer = [](const std::string&) { return endless(50); };
  ::testing::internal::CaptureStderr();
  start(faster());
  run(5'000'000);
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(
      log.find("members: its members take too much memory; the list of revision 41 stays in force"),
      std::string::npos)
      << log;
  const auto sent = agent.sent();
  const auto asked = agent.asked.size();
  const Micros since = clock.now();
  run(6'000'000);
  const double seconds = double(clock.now() - since) / 1e6 * kFaster;  // in service
  const double bytes = double(agent.sent() - sent);
  const double calls = double(agent.asked.size() - asked);
  std::cout << "in " << seconds << " s: " << bytes / seconds << " bytes a second, " << calls
            << " calls; before " << sent << " bytes, " << asked << " calls\n";
  EXPECT_LT(bytes / seconds, 2'000);
  EXPECT_GT(calls, seconds / 16);  // at least every 4 s, on a machine that is four times too slow
  EXPECT_TRUE(told.empty());
}

TEST_F(ListsTest, AGoodListIsTakenOnceTheFaultIsOver) {
  agent.answer = [](const std::string&) { return endless(50); };
  start(faster());
  run(500'000);
  agent.answer = [](const std::string&) { return once(list(51, true, fleet(200))); };
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(told[0].endpoints.size(), 200U);
  // And one of any size: of the same revision too, since what broke once may be whole now.
  told.clear();
  agent.answer = [](const std::string&) { return endless(52); };
  agent.hang_up();
  run(500'000);
  agent.answer = [](const std::string&) { return in_pieces(list(52, true, fleet(1'500)), 16384); };
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(told[0].endpoints.size(), 1'500U);
  // All is forgotten: what breaks now is asked for at once.
  agent.answer = [](const std::string&) { return once("\n"); };
  const auto asked = agent.asked.size();
  agent.hang_up();
  const Micros broke = clock.now();
  ASSERT_TRUE(until(io, [&] { return agent.asked.size() > asked; }));
  EXPECT_LT(clock.now() - broke, 250'000);
}

TEST_F(ListsTest, ChangesAreTakenWhileWholeListsFail) {
  // Guards against a list that is old for as long as the fault lasts: many at once, and one by one.
  agent.answer = [](const std::string&) { return endless(50); };
  ListLimits limits = faster();
  limits.memory_bytes = 4 << 20;
  start(limits);
  run(500'000);
  ASSERT_TRUE(told.empty());
  const auto asked = agent.asked.size();
  agent.answer = [](const std::string& target) {
    if (target.find("after=") == std::string::npos) {
      return endless(50);
    }
    return in_pieces(list(51, false, fleet(24'000)), 16384);
  };
  const Micros there = clock.now();
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  std::cout << "24000 changes taken after " << clock.now() - there << " us and "
            << agent.asked.size() - asked << " calls\n";
  EXPECT_EQ(told[0].endpoints.size(), 24'000U);
  EXPECT_EQ(agent.asked.back(), "/catalog/members?watch=1&after=41");
  // Whole lists go on failing behind it.
  agent.answer = [](const std::string&) { return endless(52); };
  agent.hang_up();
  run(500'000);
  for (int revision = 53; revision < 56; ++revision) {
    const auto changed = [&](const std::string& target) {
      if (target.find("after=") == std::string::npos) {
        return endless(52);
      }
      return once(list(revision, false, entry("s1", "127.0.0.1:9", "draining")));
    };
    agent.answer = changed;
    told.clear();
    agent.hang_up();
    ASSERT_TRUE(until(io, [&] { return told.size() >= 1; }));
    EXPECT_EQ(told[0].revision, revision);
  }
}

TEST_F(ListsTest, AnEndlessChangeIsNotReadOnAndOnEither) {
  agent.answer = [](const std::string&) { return endless(50, false); };
  start(faster());
  run(5'000'000);
  const auto sent = agent.sent();
  const Micros since = clock.now();
  run(6'000'000);
  EXPECT_LT(double(agent.sent() - sent) / (double(clock.now() - since) / 1e6 * kFaster), 2'000);
}

TEST(ListsOfAGateway, OneThatWouldPassItsMemoryLeavesThatInForce) {
  // Guards against a bound that is the same for a gateway of 32 MB and one of 256.
  for (const std::size_t memory_mb : {1, 32}) {
    Rig rig;
    FakeServer server(rig.io);
    rig.know(member("s1", server));
    rig.config.memory_limit_mb = memory_mb;
    rig.discovery.first = list(42, true, fleet(2'000));
    ::testing::internal::CaptureStderr();
    GatewayServer& driver = rig.start();
    const auto taken = [&] {
      return driver.render_stats().find("app.targets=2000\n") != std::string::npos;
    };
    const auto failed = [&] { return rig.discovery.asked.size() > 3; };
    ASSERT_TRUE(rig.until([&] { return taken() || failed(); }));
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(taken(), memory_mb == 32) << log;
    EXPECT_EQ(failed(), memory_mb == 1) << log;
    if (failed()) {
      EXPECT_NE(driver.render_stats().find("app.targets=1\n"), std::string::npos);
    }
  }
}

TEST_F(ListsTest, AListThatTricklesIsGivenUpAndAskedForLessAndLessOften) {
  // Guards against one that always has another byte, and against asking for it 20 times a second.
  agent.answer = [](const std::string&) { return in_pieces(list(50, true, fleet(100)), 1); };
  agent.pause = 5'000;
  ListLimits limits;
  limits.max_unfinished_lists = 3;
  start(limits);
  ASSERT_TRUE(until(io, [&] { return agent.asked.size() == 2; }));
  EXPECT_LT(agent.asked_at[1] - agent.asked_at[0], 2'000'000);
  ASSERT_TRUE(until(io, [&] { return agent.asked.size() == 12; }));
  EXPECT_GT(agent.asked_at[11] - agent.asked_at[7], 2'000'000);  // 0.8 s with waits that don't grow
  EXPECT_TRUE(told.empty());
}

TEST_F(ListsTest, ALargeListThatBeginsToTrickleIsGivenUp) {
  // Guards against time that a list has saved up while it came fast.
  agent.answer = [this](const std::string&) -> ListAgent::Pieces {
    return [this, n = 0, fast = endless(50)]() mutable {
      if (++n < 500) {
        return fast();
      }
      agent.pause = 5'000;
      return std::string(" ");
    };
  };
  start();
  ASSERT_TRUE(until(io, [&] { return agent.pause > 0; }));
  const Micros trickles = clock.now();
  ASSERT_TRUE(until(io, [&] { return agent.asked.size() == 2; }));
  EXPECT_LT(clock.now() - trickles, 4'000'000);
  EXPECT_TRUE(told.empty());
}

TEST_F(ListsTest, ALargeListMayTakeLongerThanASmallOne) {
  // Guards against a bound for the whole that holds for lists of any size.
  const std::string text = list(50, true, fleet(10'000));
  agent.answer = [&](const std::string&) { return in_pieces(text, 32768); };
  agent.pause = 8'000;  // 43 times: past 150 ms and well over half a MB a second
  start();
  ASSERT_TRUE(until(io, [&] { return told.size() == 1; }));
  EXPECT_EQ(agent.asked.size(), 1U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
