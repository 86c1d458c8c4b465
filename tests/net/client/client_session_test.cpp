// ClientSession: the events that a session reports, and how its connection ends.
#include "net/client/client_session.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/client/client_session_fixture.hpp"
#include "support/failing_allocations.hpp"

namespace quota_gateway::net::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kRequestId = 7;
constexpr ClientId kClientId = 1;
const std::string kValidRequest =
    "POST /write/0000000000000001 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: t1\r\n"
    "Plan: team\r\nX-Expires-In: 480m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    "Content-Length: 5\r\n\r\nhello";

class ConnectedClientSessionTest : public ClientSessionTest {
 protected:
  ConnectedClientSessionTest() {
    settings.gateway_count = 1;
    settings.max_request_units = 100;
    settings.classes.emplace_back().name = "write";
    settings.plans.emplace_back().name = "team";
    context.callbacks.on_request = [this](ClientId, const ClientRequest& request) {
      bodies.push_back(request.forwarded.body);
      return result_of_on_request;
    };
    context.callbacks.on_client_disconnected = [this](std::uint64_t request) {
      disconnected.push_back(request);
    };
    context.callbacks.on_piece_sent = [this](std::uint64_t request) { sent.push_back(request); };
    session = std::make_shared<ClientSession>(context, kClientId, std::move(sockets.gateway));
    session->read();
  }

  void send(const std::string& bytes) {
    boost::asio::write(sockets.client, boost::asio::buffer(bytes));
  }

  // Sends a valid request and waits until the session has delivered it.
  void send_request() {
    send(kValidRequest);
    ASSERT_TRUE(run_until([&] { return !bodies.empty(); }));
  }

  // Returns the bytes that the client receives: `size` bytes, or all until the connection ends.
  std::string receive(std::optional<std::size_t> size = std::nullopt) {
    std::string received;
    bool done = false;
    const auto on_read = [&](error_code ec, std::size_t) {
      receive_error = ec;
      done = true;
    };
    auto buffer = boost::asio::dynamic_buffer(received);
    if (size) {
      boost::asio::async_read(sockets.client, buffer, boost::asio::transfer_exactly(*size),
                              on_read);
    } else {
      boost::asio::async_read(sockets.client, buffer, on_read);
    }
    EXPECT_TRUE(run_until([&] { return done; }));
    return received;
  }

  // Whether the session soon holds more than `size` unparsed bytes.
  bool reads_ahead(std::size_t size) {
    constexpr Micros kSoon = 300'000;
    const Micros end = clock.now() + kSoon;
    EXPECT_TRUE(run_until([&] { return session->buffered_bytes() > size || clock.now() >= end; }));
    return session->buffered_bytes() > size;
  }

  ConnectedSockets sockets{io};
  std::shared_ptr<ClientSession> session;
  std::optional<std::uint64_t> result_of_on_request = kRequestId;
  std::vector<std::string> bodies;          // of the delivered requests
  std::vector<std::uint64_t> disconnected;  // ids of the requests that lost their client
  std::vector<std::uint64_t> sent;          // the request id for each response piece that was sent
  error_code receive_error;                 // the error code of the last receive()
};

TEST_F(ConnectedClientSessionTest, AnswersConsecutiveRequestsOnOneConnection) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
  for (int i = 0; i < 2; ++i) {
    bodies.clear();
    send_request();
    session->respond({200, std::nullopt, "ok\n"});
    EXPECT_EQ(receive(response.size()), response);
  }
  EXPECT_TRUE(disconnected.empty());
}

// Guards against a request that nobody waits for: its bytes were taken from the system, and then
// there was no memory to keep them.
TEST_F(ConnectedClientSessionTest, ARequestWhoseBytesFindNoMemoryIsRejected) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
  send_request();
  session->respond({200, std::nullopt, "ok\n"});
  EXPECT_EQ(receive(response.size()), response);
  send("POST /write/0000000000000001?longer-than-the-memory-of-the-first-one HTTP/1.1\r\n" +
       kValidRequest.substr(kValidRequest.find("Host:")));
  {
    const FailingAllocations no_memory;
    io.restart();
    io.run_one();
  }
  EXPECT_EQ(receive().substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(bodies.size(), 1U);
}

TEST_F(ConnectedClientSessionTest, ReportsADisconnectWhileTheResponseIsAwaited) {
  send_request();
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_EQ(disconnected, std::vector<std::uint64_t>{kRequestId});
}

TEST_F(ConnectedClientSessionTest, ReportsADisconnectDuringAStreamedResponse) {
  send_request();
  session->begin_response(100, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_EQ(disconnected, std::vector<std::uint64_t>{kRequestId});
}

TEST_F(ConnectedClientSessionTest, ReportsNoDisconnectAfterTheResponse) {
  send_request();
  session->begin_response(5, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  session->finish_response();
  ASSERT_TRUE(run_until([&] { return session->is_idle_between_requests(); }));
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(ConnectedClientSessionTest,
       AbortingAResponseResetsTheConnectionWithoutReportingADisconnect) {
  send_request();
  session->begin_response(std::nullopt, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  session->abort_response();
  receive();
  EXPECT_EQ(receive_error, boost::asio::error::connection_reset);
  EXPECT_TRUE(disconnected.empty());
  EXPECT_EQ(owner.closed(), std::vector<ClientId>{kClientId});
}

// Guards against a reset that discards what the client's system has not received yet: an earlier
// response, which is complete, and the beginning of the aborted one.
TEST_F(ConnectedClientSessionTest, AnAbortedResponseDiscardsNothingThatWasWritten) {
  constexpr std::size_t kMoreThanTheClientReceivesAhead = 300'000;
  const std::string first_body(kMoreThanTheClientReceivesAhead, 'a');
  send(kValidRequest + kValidRequest);
  ASSERT_TRUE(run_until([&] { return bodies.size() == 1; }));
  session->respond({200, std::nullopt, first_body});
  ASSERT_TRUE(run_until([&] { return bodies.size() == 2; }));
  session->begin_response(std::nullopt, "beginning");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  session->abort_response();
  const Micros end = clock.now() + 50'000;
  ASSERT_TRUE(run_until([&] { return clock.now() >= end; }));
  const std::string received = receive();
  EXPECT_NE(received.find(first_body), std::string::npos);
  EXPECT_NE(received.find("beginning"), std::string::npos);
  EXPECT_EQ(receive_error, boost::asio::error::connection_reset);
  EXPECT_TRUE(disconnected.empty());
}

// Guards against a body piece that is delivered after the attempt that requested it has failed
// (review/1).
TEST_F(ConnectedClientSessionTest, KeepsABodyPieceWhoseRequestWasWithdrawn) {
  std::vector<std::string> pieces;
  context.callbacks.on_body_piece = [&](std::uint64_t, const std::string& piece, bool) {
    pieces.push_back(piece);
  };
  send(kValidRequest.substr(0, kValidRequest.find("Content-Length")) +
       "Content-Length: 70004\r\n\r\n");
  io.poll();  // else the first read would end within the beginning
  send(std::string(70'000, 'a'));
  ASSERT_TRUE(run_until([&] { return !bodies.empty(); }));
  session->request_body_piece();
  session->withdraw_body_piece_request();
  send("rest");
  ASSERT_TRUE(run_until([&] { return session->buffered_bytes() == 4; }));
  EXPECT_TRUE(pieces.empty());
  session->request_body_piece();
  ASSERT_TRUE(run_until([&] { return !pieces.empty(); }));
  EXPECT_EQ(pieces, std::vector<std::string>{"rest"});
}

// Guards against requests that bring the process over its memory.
TEST_F(ConnectedClientSessionTest, RejectsARequestForLackOfMemoryAndKeepsTheConnection) {
  process_memory.allocate(kMemoryLimit * 9 / 10);
  send(kValidRequest);
  const std::string rejection =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.000\r\n\r\n";
  EXPECT_EQ(receive(rejection.size()), rejection);
  EXPECT_TRUE(bodies.empty());
  process_memory.free(kMemoryLimit * 9 / 10);
  send_request();
}

TEST_F(ConnectedClientSessionTest, RejectsOnlyLongRequestsWhileMemoryIsScarce) {
  process_memory.allocate(kMemoryLimit * 2 / 3);
  send_request();
  session->respond({});
  send(kValidRequest.substr(0, kValidRequest.find("Content-Length")) +
       "Content-Length: 70004\r\n\r\n");
  const std::string responses = receive();
  EXPECT_NE(responses.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(responses.find("Connection: close"), std::string::npos);
  EXPECT_EQ(bodies.size(), 1U);
}

TEST_F(ConnectedClientSessionTest, RejectsARequestThatArrivesWhileMemoryRunsOut) {
  send(kValidRequest.substr(0, kValidRequest.find("Content-Length")) +
       "Content-Length: 20000\r\n\r\n" + std::string(10'000, 'a'));
  io.poll();
  process_memory.allocate(kMemoryLimit * 9 / 10);
  send(std::string(1'000, 'a'));
  EXPECT_EQ(receive().find("HTTP/1.1 503"), 0U);
  EXPECT_TRUE(bodies.empty());
}

TEST_F(ConnectedClientSessionTest, AnswersHealthChecksWithoutMemoryForRequests) {
  process_memory.allocate(kMemoryLimit * 9 / 10);
  send("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(receive().find("HTTP/1.1 200"), 0U);
}

TEST_F(ConnectedClientSessionTest, ReadsNothingAheadWhileMemoryIsScarce) {
  process_memory.allocate(kMemoryLimit * 2 / 3);
  send_request();
  send(std::string(100'000, 'x'));
  EXPECT_FALSE(reads_ahead(20'000));
  process_memory.free(kMemoryLimit * 2 / 3);
  EXPECT_TRUE(reads_ahead(20'000));
}

TEST_F(ConnectedClientSessionTest, RejectsARequestWithATraceIdThatIsInProgress) {
  result_of_on_request = std::nullopt;
  send_request();
  EXPECT_EQ(receive(),
            "HTTP/1.1 409 Conflict\r\nContent-Length: 46\r\nConnection: close\r\n\r\n"
            "a request with this X-Trace-Id is in progress\n");
  EXPECT_EQ(receive_error, boost::asio::error::eof);
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(ConnectedClientSessionTest, ARejectedClientThatContinuesToSendReceivesItsResponse) {
  send("GET /nothing HTTP/1.1\r\n\r\n" + std::string(100'000, 'x'));
  EXPECT_EQ(receive().substr(0, 24), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(receive_error, boost::asio::error::eof);
  EXPECT_TRUE(owner.closed().empty());  // because the client has not closed its side
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return !owner.closed().empty(); }));
}

TEST_F(ConnectedClientSessionTest, ClosesTheConnectionWithTheResponseWhileDraining) {
  send_request();
  context.draining = true;
  session->respond({200, std::nullopt, "ok\n"});
  EXPECT_EQ(receive(), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n");
}

}  // namespace
}  // namespace quota_gateway::net::testing
