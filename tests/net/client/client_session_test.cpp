// What a session reports of its client, and how its connection ends.
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

namespace quota_gateway::net::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kRequest = 7;
constexpr ClientId kClient = 1;
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
      return answer_to_request;
    };
    context.callbacks.on_client_disconnected = [this](std::uint64_t request) {
      disconnected.push_back(request);
    };
    context.callbacks.on_piece_sent = [this](std::uint64_t request) { sent.push_back(request); };
    session = std::make_shared<ClientSession>(context, kClient, std::move(sockets.gateway));
    session->read();
  }

  void send(const std::string& bytes) {
    boost::asio::write(sockets.client, boost::asio::buffer(bytes));
  }

  // The client sends a valid request, which the session delivers.
  void request() {
    send(kValidRequest);
    ASSERT_TRUE(run_until([&] { return !bodies.empty(); }));
  }

  // All that the client receives until the end, or as much as is named.
  std::string receive(std::optional<std::size_t> size = std::nullopt) {
    std::string received;
    bool done = false;
    const auto on_read = [&](error_code ec, std::size_t) {
      end = ec;
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

  ConnectedSockets sockets{io};
  std::shared_ptr<ClientSession> session;
  std::optional<std::uint64_t> answer_to_request = kRequest;
  std::vector<std::string> bodies;          // of the requests that were delivered
  std::vector<std::uint64_t> disconnected;  // requests
  std::vector<std::uint64_t> sent;          // requests of which a piece of the response was sent
  error_code end;                           // how receive() ended
};

TEST_F(ConnectedClientSessionTest, AnswersOneRequestAfterAnother) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
  for (int i = 0; i < 2; ++i) {
    bodies.clear();
    request();
    session->respond({200, std::nullopt, "ok\n"});
    EXPECT_EQ(receive(response.size()), response);
  }
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(ConnectedClientSessionTest, ReportsADisconnectWhileTheResponseIsAwaited) {
  request();
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_EQ(disconnected, std::vector<std::uint64_t>{kRequest});
}

TEST_F(ConnectedClientSessionTest, ReportsADisconnectAmidAStreamedResponse) {
  request();
  session->begin_response(100, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_EQ(disconnected, std::vector<std::uint64_t>{kRequest});
}

TEST_F(ConnectedClientSessionTest, ReportsNoDisconnectAfterTheResponse) {
  request();
  session->begin_response(5, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  session->finish_response();
  ASSERT_TRUE(run_until([&] { return session->rests_between_requests(); }));
  sockets.client.close();
  ASSERT_TRUE(run_until([&] { return !owner.closed().empty(); }));
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(ConnectedClientSessionTest, AnAbortedResponseResetsTheConnectionAndIsNotReported) {
  request();
  session->begin_response(std::nullopt, "hello");
  ASSERT_TRUE(run_until([&] { return !sent.empty(); }));
  session->abort_response();
  receive();
  EXPECT_EQ(end, boost::asio::error::connection_reset);
  EXPECT_TRUE(disconnected.empty());
  EXPECT_EQ(owner.closed(), std::vector<ClientId>{kClient});
}

TEST_F(ConnectedClientSessionTest, RejectsARequestOfAnIdThatIsOpen) {
  answer_to_request = std::nullopt;
  request();
  EXPECT_EQ(receive(),
            "HTTP/1.1 409 Conflict\r\nContent-Length: 29\r\nConnection: close\r\n\r\n"
            "a request of that id is open\n");
  EXPECT_EQ(end, boost::asio::error::eof);
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(ConnectedClientSessionTest, ARejectedClientThatSendsOnStillReceivesItsResponse) {
  send("GET /nothing HTTP/1.1\r\n\r\n" + std::string(100'000, 'x'));
  EXPECT_EQ(receive().substr(0, 24), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(end, boost::asio::error::eof);
  EXPECT_TRUE(owner.closed().empty());  // the client has not closed its side
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return !owner.closed().empty(); }));
}

TEST_F(ConnectedClientSessionTest, ClosesWithTheResponseWhileDraining) {
  request();
  context.draining = true;
  session->respond({200, std::nullopt, "ok\n"});
  EXPECT_EQ(receive(), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n");
}

}  // namespace
}  // namespace quota_gateway::net::testing
