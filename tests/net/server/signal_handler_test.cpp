#include "net/server/signal_handler.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <new>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::chrono::seconds kMaxWait{5};

// Raises SIGTERM and runs the event loop until its callback was called `terminations` times.
void terminate_and_run(boost::asio::io_context& io, const int& terminations, int expected) {
  ASSERT_EQ(::raise(SIGTERM), 0);
  const auto give_up_at = std::chrono::steady_clock::now() + kMaxWait;
  while (terminations < expected && std::chrono::steady_clock::now() < give_up_at) {
    run_and_log_exceptions("test", [&io] { io.run_one_for(kMaxWait); });
  }
}

// Guards against a SIGTERM that is seen and not acted on: the gateway then runs until SIGKILL,
// which ends its open requests.
TEST(SignalHandler, ActsOnASignalAgainIfAnExceptionHasInterruptedThat) {
  boost::asio::io_context io;
  SignalHandler signals(io);
  int terminations = 0;
  const auto terminate = [&terminations] {
    if (++terminations == 1) {
      throw std::bad_alloc();
    }
  };
  signals.start({terminate, [] {}});
  terminate_and_run(io, terminations, 1);
  ASSERT_EQ(terminations, 1);
  signals.resume();
  EXPECT_EQ(terminations, 2);
  signals.resume();
  EXPECT_EQ(terminations, 2);
  terminate_and_run(io, terminations, 3);
  EXPECT_EQ(terminations, 3);
}

}  // namespace
}  // namespace quota_gateway::net::testing
