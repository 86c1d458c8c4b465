// Tests the encoding of requests, and whether an attempt that ends without a response is reported
// as never run or as possibly run.
#include "net/upstream/attempt_runner.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <deque>

#include "connection_pool_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using AttemptRunnerTest = ConnectionPoolFixture;

TEST_F(AttemptRunnerTest, SendsTheRequestWithItsTraceIdKeyAndTimeLeft) {
  make_pool();
  EXPECT_EQ(run_attempt(1).outcome, Outcome::kOk);
  const HttpRequest& received = server.requests.at(0);
  EXPECT_EQ(received.target(), "/intro-request/1?q");
  EXPECT_EQ(received["X-Trace-Id"], "t1");
  EXPECT_EQ(received["Idempotency-Key"], "k1");
  EXPECT_EQ(received["X-Expires-In"].back(), 'u');
  EXPECT_EQ(received.body(), "hello");
}

TEST_F(AttemptRunnerTest, ReportsARefusedConnectionAsNeverRun) {
  make_pool();
  server.stop();
  EXPECT_EQ(run_attempt(1).outcome, Outcome::kConnectFailed);
}

TEST_F(AttemptRunnerTest, ReportsAConnectTimeoutAsNeverRunAndSendsNothingLater) {
  // A connect to a listener with a full backlog hangs, as does one to a machine that no longer
  // exists.
  tcp::acceptor full(io, {asio::ip::address_v4::loopback(), 0}, true);
  full.listen(0);
  std::deque<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(io);
    fillers.back().async_connect(full.local_endpoint(), [](error_code) {});
  }
  ConnectionPoolLimits limits = immediate_reuse();
  limits.connect_timeout = 50'000;
  make_pool(limits);
  endpoint_list.endpoints[0].address = full.local_endpoint();
  pool().update(endpoint_list);
  EXPECT_EQ(run_attempt(1).outcome, Outcome::kConnectFailed);
  // If a connection is established after the timeout, nothing is sent on it.
  std::size_t accepted = 0;
  fillers.clear();
  full.non_blocking(true);
  while (true) {
    error_code ec;
    tcp::socket late(io);
    full.accept(late, ec);
    if (ec) {
      break;
    }
    ++accepted;
    char byte = 0;
    error_code read_error;
    late.read_some(asio::buffer(&byte, 1), read_error);
    EXPECT_TRUE(read_error);
  }
  EXPECT_GE(accepted, 1U);
}

TEST_F(AttemptRunnerTest, ReportsABreakBeforeTheLastByteAsNeverRun) {
  // The request exceeds the socket's buffers, and the server resets the connection without reading.
  request.body.assign(32 << 20, 'x');
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [&](error_code) {
    peer.async_wait(tcp::socket::wait_read, [&](error_code) {
      peer.set_option(asio::socket_base::linger(true, 0));
      peer.close();
    });
  });
  make_pool();
  endpoint_list.endpoints[0].address = acceptor.local_endpoint();
  pool().update(endpoint_list);
  EXPECT_EQ(run_attempt(1).outcome, Outcome::kConnectFailed);
}

TEST_F(AttemptRunnerTest, ReportsABreakAfterTheLastByteAsMayHaveRun) {
  EXPECT_EQ(outcome_of_response_and_close(""), Outcome::kReset);
  EXPECT_EQ(outcome_of_response_and_close("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
            Outcome::kReset);
}

TEST_F(AttemptRunnerTest, AbandonClosesTheConnectionAndReturnsWhetherTheRequestMayHaveRun) {
  server.on_request = [](PeerConnection&, const HttpRequest&) {};
  make_pool();
  send(1);
  EXPECT_FALSE(attempts[1].abandon());  // still connecting
  send(2);
  ASSERT_TRUE(run_until(io, [&] { return !server.requests.empty(); }));
  EXPECT_TRUE(attempts[2].abandon());
  ASSERT_TRUE(run_until(io, [&] { return server.peers.back()->closed; }));
  EXPECT_TRUE(results.empty());  // an abandoned attempt reports no result
}

// Guards against an attempt that occupies its connection after its request has gone (review/3).
TEST_F(AttemptRunnerTest, AnAttemptEndsWithItsHandle) {
  server.on_request = [](PeerConnection&, const HttpRequest&) {};
  make_pool();
  send(1);
  ASSERT_TRUE(run_until(io, [&] { return !server.requests.empty(); }));
  attempts.erase(1);
  ASSERT_TRUE(run_until(io, [&] { return server.peers.back()->closed; }));
  EXPECT_TRUE(results.empty());
}

// Guards against a piece that overwrites the request before it is written (review/1).
TEST_F(AttemptRunnerTest, WritesNoBodyPieceThatTheAttemptDidNotRequest) {
  request.body.assign(70'000, 'a');
  request.body_complete = false;
  request.content_length = request.body.size() + 4;
  make_pool();
  send(1);
  pool().send_body_piece({1, 0}, "rest", true);  // still connecting
  EXPECT_TRUE(results.empty());                  // the event loop reports the result
  ASSERT_TRUE(run_until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kConnectFailed);
  ASSERT_TRUE(run_until(io, [&] { return server.peers.empty() || server.peers[0]->closed; }));
  EXPECT_TRUE(server.peers.empty() || server.peers[0]->pending.empty());
}

// Guards against a body with a gap: a piece that is dropped since the beginning is still being
// written (REPORT.md of the review).
TEST_F(AttemptRunnerTest, WritesNoBodyPieceWhileTheBeginningIsBeingWritten) {
  request.body.assign(32 << 20, 'a');  // exceeds the socket's buffers
  request.body_complete = false;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket silent_peer(io);
  acceptor.async_accept(silent_peer, [](error_code) {});
  make_pool();
  endpoint_list.endpoints[0].address = acceptor.local_endpoint();
  pool().update(endpoint_list);
  send(1);
  ASSERT_TRUE(run_until(io, [&] {
    error_code ignored;
    return silent_peer.is_open() && silent_peer.available(ignored) > 0;
  }));
  pool().send_body_piece({1, 0}, "rest", true);
  io.poll();
  ASSERT_FALSE(results.empty());
  EXPECT_EQ(results[0].second.outcome, Outcome::kConnectFailed);
}

}  // namespace
}  // namespace quota_gateway::net::testing
