// Tests the log lines about requests whose connection is closed before their response.
#include "net/client/session_close.hpp"

#include <gtest/gtest.h>

#include <boost/asio/error.hpp>

namespace quota_gateway::net::testing {
namespace {

namespace asio = boost::asio;

constexpr Micros kStart = 100'000'000;

class UnansweredRequestLogTest : public ::testing::Test {
 protected:
  std::string closed(std::uint64_t request, const SessionClose& cause, Micros now) {
    ::testing::internal::CaptureStderr();
    log.on_closed(request, cause, now);
    return ::testing::internal::GetCapturedStderr();
  }
  UnansweredRequestLog log;
};

TEST_F(UnansweredRequestLogTest, AFailedReadIsLoggedWithItsRequestAndError) {
  const SessionClose cause = close_after_error(
      CloseReason::kReadFailed, asio::error::make_error_code(asio::error::timed_out));
  EXPECT_EQ(closed(7, cause, kStart),
            "clients: connection of request 7 closed before its response was complete: reading "
            "failed: Connection timed out; 1 such requests since the last line\n");
}

TEST_F(UnansweredRequestLogTest, AClientThatLeavesIsNotLogged) {
  for (const auto error : {asio::error::make_error_code(asio::error::connection_reset),
                           boost::system::error_code(asio::error::eof)}) {
    EXPECT_EQ(closed(7, close_after_error(CloseReason::kReadFailed, error), kStart), "");
  }
}

TEST_F(UnansweredRequestLogTest, LinesAreTenSecondsApartAndCountTheRequestsBetween) {
  EXPECT_NE(closed(1, {CloseReason::kTimedOut}, kStart), "");
  EXPECT_EQ(closed(2, {CloseReason::kTimedOut}, kStart + 10'000'000), "");
  EXPECT_NE(closed(3, {CloseReason::kTimedOut}, kStart + 10'000'001).find("; 2 such requests"),
            std::string::npos);
}

}  // namespace
}  // namespace quota_gateway::net::testing
