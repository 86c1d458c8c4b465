// Timers: the order in which callbacks run, and what a callback may do.
#include "net/event_loop/timers.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <new>
#include <stdexcept>
#include <utility>
#include <vector>

namespace quota_gateway::net::testing {
namespace {

class TimersTest : public ::testing::Test {
 protected:
  // Runs the event loop until no timer is left or the loop is stopped.
  void run() {
    io.restart();
    io.run();
  }

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  std::vector<int> fired;
};

TEST_F(TimersTest, FireInOrderOfTheirTimes) {
  const Micros start = clock.now();
  timers.at(start + 3'000, [this] { fired.push_back(3); });
  timers.at(start + 1'000, [this] { fired.push_back(1); });
  timers.at(start + 2'000, [this] { fired.push_back(2); });
  run();
  EXPECT_EQ(fired, (std::vector<int>{1, 2, 3}));
}

TEST_F(TimersTest, EqualTimesFireInTheOrderInWhichTheyWereSet) {
  const Micros when = clock.now() + 1'000;
  std::vector<int> expected;
  for (int number = 0; number < 20; ++number) {
    timers.at(when, [this, number] { fired.push_back(number); });
    expected.push_back(number);
  }
  run();
  EXPECT_EQ(fired, expected);
}

// Guards against timers of ended requests that stay until their time.
TEST_F(TimersTest, ACancelledTimerIsFreedAtOnceAndDoesNotFire) {
  const auto held = std::make_shared<int>(0);
  {
    const Timers::Handle handle =
        timers.cancellable_at(clock.now() + 1'000, [this, held] { fired.push_back(1); });
    EXPECT_EQ(held.use_count(), 2);
  }
  EXPECT_EQ(held.use_count(), 1);
  EXPECT_EQ(timers.size(), 0U);
  run();
  EXPECT_TRUE(fired.empty());
}

TEST_F(TimersTest, AHandleCancelsOnlyTheTimerThatItHolds) {
  Timers::Handle handle =
      timers.cancellable_at(clock.now() + 1'000, [this] { fired.push_back(1); });
  handle = timers.cancellable_at(clock.now() + 2'000, [this] { fired.push_back(2); });
  Timers::Handle moved = std::move(handle);
  handle.cancel();  // NOLINT(bugprone-use-after-move): holds no timer now
  timers.at(clock.now() + 1'500, [this] { fired.push_back(3); });
  run();
  EXPECT_EQ(fired, (std::vector<int>{3, 2}));
  moved.cancel();  // has fired
}

TEST_F(TimersTest, NeverFireEarly) {
  std::vector<Micros> early;
  for (Micros delay = 500; delay < 20'000; delay += 1'300) {
    const Micros when = clock.now() + delay;
    timers.at(when, [this, when, &early] {
      if (clock.now() < when) {
        early.push_back(when - clock.now());
      }
    });
  }
  run();
  EXPECT_TRUE(early.empty());
}

TEST_F(TimersTest, AnEarlierTimerDoesNotWaitForALaterOneThatWasSetFirst) {
  timers.after(60'000'000, [this] { fired.push_back(2); });
  timers.after(1'000, [this] {
    fired.push_back(1);
    io.stop();
  });
  run();
  EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimersTest, AnOverdueTimerFiresOnlyFromTheEventLoop) {
  timers.at(clock.now() - 1'000'000, [this] { fired.push_back(1); });
  EXPECT_TRUE(fired.empty());
  run();
  EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimersTest, ACallbackMaySetTimers) {
  timers.after(0, [this] {
    fired.push_back(1);
    timers.after(0, [this] { fired.push_back(3); });
    fired.push_back(2);
  });
  run();
  EXPECT_EQ(fired, (std::vector<int>{1, 2, 3}));
}

TEST_F(TimersTest, AnExceptionInACallbackDoesNotStopOthers) {
  const Micros when = clock.now();
  timers.at(when, [] { throw std::runtime_error("thrown by a test"); });
  timers.at(when, [this] { fired.push_back(1); });
  timers.at(when + 1'000, [this] { fired.push_back(2); });
  run();
  EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

// Guards against work that is lost because its timer met a lack of memory.
TEST_F(TimersTest, ACallbackThatFailsIsCalledAgainAndFinallyDropped) {
  int calls = 0;
  int hopeless_calls = 0;
  timers.after(0, [&] {
    if (++calls < 3) {
      throw std::bad_alloc();
    }
  });
  timers.after(0, [&] {
    ++hopeless_calls;
    throw std::bad_alloc();
  });
  io.run_for(std::chrono::milliseconds(500));
  EXPECT_EQ(calls, 3);
  EXPECT_EQ(hopeless_calls, 21);
  EXPECT_EQ(timers.size(), 0U);
}

// Guards against checks that end with the first exception.
TEST_F(TimersTest, APeriodicCallbackGoesOnAfterExceptions) {
  int calls = 0;
  timers.every(1'000, [&] {
    ++calls;
    throw std::bad_alloc();
  });
  io.run_for(std::chrono::milliseconds(100));
  EXPECT_GT(calls, 3);
  EXPECT_EQ(timers.size(), 1U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
