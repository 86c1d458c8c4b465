// SessionTable: finding sessions, and selecting the session to close if there are too many.
#include "net/client/session_table.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string_view>

#include "net/client/client_session_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using boost::asio::ip::tcp;

class SessionTableTest : public ClientSessionTest {
 protected:
  // Connects a client and adds its session under the next id.
  std::shared_ptr<ClientSession> add_session() {
    ConnectedSockets& sockets = connections.emplace_back(io);
    auto session =
        std::make_shared<ClientSession>(context, ++last_client, std::move(sockets.gateway));
    table.add(last_client, session);
    session->read();
    wait_until_clock_advances();
    return session;
  }

  // Sends a request from the client with that id and waits until its session is idle again.
  void complete_request(ClientId client) {
    tcp::socket& socket = connections.at(client - 1).client;
    boost::asio::write(socket,
                       boost::asio::buffer(std::string_view("GET /_health HTTP/1.1\r\n\r\n")));
    ASSERT_TRUE(run_until([&] { return socket.available() > 0; }));
    ASSERT_TRUE(run_until([&] { return table.find(client)->is_idle_between_requests(); }));
    wait_until_clock_advances();
  }

  // Waits until the clock advances, so that later events have later times.
  void wait_until_clock_advances() {
    const Micros now = clock.now();
    while (clock.now() == now) {
    }
  }

  std::deque<ConnectedSockets> connections;
  SessionTable table;
  ClientId last_client = 0;
};

TEST_F(SessionTableTest, OnlySessionsInTheTableAreFound) {
  const auto session = add_session();
  EXPECT_EQ(table.find(1), session);
  EXPECT_EQ(table.find(2), nullptr);
  EXPECT_EQ(table.snapshot().size(), 1U);
  table.remove(1);
  EXPECT_EQ(table.find(1), nullptr);
  EXPECT_EQ(table.size(), 0U);
}

TEST_F(SessionTableTest, TheNewestSessionIsNotEvicted) {
  add_session();
  EXPECT_EQ(table.find_evictable(1), nullptr);
}

TEST_F(SessionTableTest, TheOldestSilentSessionIsEvicted) {
  const auto oldest = add_session();
  add_session();
  add_session();
  EXPECT_EQ(table.find_evictable(3), oldest);
}

TEST_F(SessionTableTest, ASilentSessionIsEvictedBeforeOneThatHasHadARequest) {
  add_session();
  const auto silent = add_session();
  add_session();
  complete_request(1);
  EXPECT_EQ(table.find_evictable(3), silent);
}

TEST_F(SessionTableTest, ASessionWithUnreadInputIsNotEvicted) {
  add_session();
  boost::asio::write(connections.front().client, boost::asio::buffer(std::string_view("GET")));
  EXPECT_EQ(table.find_evictable(2), nullptr);
}

TEST_F(SessionTableTest, AboveTheLimitTheSessionThatHasBeenIdleLongestIsSurplus) {
  add_session();
  const auto idle_longest = add_session();
  add_session();
  EXPECT_EQ(table.find_surplus_idle(0), nullptr);  // because no session has had a request
  complete_request(2);
  complete_request(1);
  EXPECT_EQ(table.find_surplus_idle(2), nullptr);
  EXPECT_EQ(table.find_surplus_idle(1), idle_longest);
}

TEST_F(SessionTableTest, ASessionHasUnfinishedWorkUntilItsFirstRequestIsAnswered) {
  EXPECT_FALSE(table.has_unfinished_work(clock.now()));
  add_session();
  EXPECT_TRUE(table.has_unfinished_work(clock.now()));
  EXPECT_FALSE(table.has_unfinished_work(clock.now() + 1'000'000));  // the client has sent nothing
  complete_request(1);
  EXPECT_FALSE(table.has_unfinished_work(clock.now()));
}

TEST_F(SessionTableTest, ClosingASessionTwiceIsReportedOnce) {
  const auto session = add_session();
  session->close({CloseReason::kIdle});
  session->close({CloseReason::kIdle});
  EXPECT_EQ(owner.closed(), std::vector<ClientId>{1});
}

}  // namespace
}  // namespace quota_gateway::net::testing
