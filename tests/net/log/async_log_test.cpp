#include "net/log/async_log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <iostream>
#include <optional>
#include <string>

namespace quota_gateway::net::testing {
namespace {

using std::chrono::steady_clock;

class AsyncLogTest : public ::testing::Test {
 protected:
  AsyncLogTest() { EXPECT_EQ(::pipe(pipe_.data()), 0); }
  ~AsyncLogTest() override {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }
  // A duplicate that stays open, since the thread of a log that is not read outlives the test.
  int write_end() const { return ::dup(pipe_[1]); }
  // Returns what is in the pipe.
  std::string read_available() const {
    ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t size = 0; (size = ::read(pipe_[0], part.data(), part.size())) > 0;) {
      text.append(part.data(), std::size_t(size));
    }
    return text;
  }
  // Fills the pipe, so that the next write to it waits.
  void fill() const {
    ::fcntl(pipe_[1], F_SETFL, O_NONBLOCK);
    while (::write(pipe_[1], "\n", 1) == 1) {
    }
    ::fcntl(pipe_[1], F_SETFL, 0);
  }

 private:
  std::array<int, 2> pipe_{};
};

TEST_F(AsyncLogTest, WritesLinesInOrderAndCompletelyBeforeItsEnd) {
  std::string expected;
  {
    const AsyncLog log(write_end());
    for (int line = 0; line < 1'000; ++line) {
      std::cerr << "line " << line << '\n';
      expected += "line " + std::to_string(line) + "\n";
    }
  }
  EXPECT_EQ(read_available(), expected);
}

TEST_F(AsyncLogTest, CutsOffALongLine) {
  {
    const AsyncLog log(write_end());
    std::cerr << std::string(2 * AsyncLog::kMaxLineBytes, 'x') << '\n' << "next\n";
  }
  EXPECT_EQ(read_available(), std::string(AsyncLog::kMaxLineBytes - 1, 'x') + "\nnext\n");
}

// Guards against a program that waits for the reader of its log, while it runs and as it ends.
TEST_F(AsyncLogTest, DropsAndCountsLinesThatNobodyReads) {
  constexpr std::chrono::seconds kMaxTime{2};
  fill();
  const auto start = steady_clock::now();
  std::optional<AsyncLog> log(std::in_place, write_end());
  const std::string line(1'000, 'x');
  for (int i = 0; i < 1'000; ++i) {
    std::cerr << line << '\n';
  }
  log.reset();
  EXPECT_LT(steady_clock::now() - start, kMaxTime);
}

TEST_F(AsyncLogTest, SaysHowManyLinesWereDropped) {
  fill();
  std::string text;
  {
    const AsyncLog log(write_end());
    const std::string line(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) {
      std::cerr << line << '\n';
    }
    const auto end = steady_clock::now() + std::chrono::seconds(5);
    while (text.find("lines were dropped") == std::string::npos && steady_clock::now() < end) {
      text += read_available();
      std::cerr << "next\n";
    }
  }
  EXPECT_NE(text.find("lines were dropped"), std::string::npos);
}

}  // namespace
}  // namespace quota_gateway::net::testing
