// EventLoopLag: what a loop that is late knows about the arrival of its input.
#include "net/event_loop/event_loop_lag.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <thread>

namespace quota_gateway::net::testing {
namespace {

constexpr std::chrono::milliseconds kDelay{600};
constexpr Micros kDelayMicros = 600'000;

class EventLoopLagTest : public ::testing::Test {
 protected:
  void run_for(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  EventLoopLag lag{timers, clock};
};

TEST_F(EventLoopLagTest, InputOfALoopThatIsNotLateArrivesNow) {
  run_for(std::chrono::milliseconds(350));
  const Micros now = clock.now();
  EXPECT_GE(lag.earliest_arrival(), now);
  EXPECT_EQ(lag.delays(), 0U);
}

// Guards against input that is taken for new though it may have arrived while the loop was late.
TEST_F(EventLoopLagTest, InputOfALateLoopMayHaveArrivedBeforeTheDelay) {
  run_for(std::chrono::milliseconds(250));
  const Micros delay_begins = clock.now();
  std::this_thread::sleep_for(kDelay);
  EXPECT_LE(lag.earliest_arrival(), delay_begins);
  EXPECT_GE(lag.earliest_arrival(),
            delay_begins - 2 * EventLoopLag::kTickInterval - EventLoopLag::kTolerance);
}

// Guards against input that counts as late for longer than the loop was.
TEST_F(EventLoopLagTest, InputArrivesNowAgainInTheNextTurnsAfterADelay) {
  run_for(std::chrono::milliseconds(250));
  std::this_thread::sleep_for(kDelay);
  run_for(std::chrono::milliseconds(20));
  const Micros now = clock.now();
  EXPECT_GE(lag.earliest_arrival(), now);
  EXPECT_EQ(lag.delays(), 1U);
  EXPECT_GE(lag.max_delay(), kDelayMicros - 2 * EventLoopLag::kTickInterval);
}

}  // namespace
}  // namespace quota_gateway::net::testing
