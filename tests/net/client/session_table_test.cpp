// Which session is found, and which one is closed where there are too many.
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
  // Connects a client with the next id.
  std::shared_ptr<ClientSession> add_session() {
    ConnectedSockets& sockets = connections.emplace_back(io);
    auto session =
        std::make_shared<ClientSession>(context, ++last_client, std::move(sockets.gateway));
    table.add(last_client, session);
    session->read();
    await_next_instant();
    return session;
  }

  // The client of that id has a request answered.
  void ask(ClientId client) {
    tcp::socket& socket = connections.at(client - 1).client;
    boost::asio::write(socket,
                       boost::asio::buffer(std::string_view("GET /_health HTTP/1.1\r\n\r\n")));
    ASSERT_TRUE(run_until([&] { return socket.available() > 0; }));
    ASSERT_TRUE(run_until([&] { return table.find(client)->rests_between_requests(); }));
    await_next_instant();
  }

  // What follows is later by the clock.
  void await_next_instant() {
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

TEST_F(SessionTableTest, OfSilentSessionsTheOldestIsEvicted) {
  const auto oldest = add_session();
  add_session();
  add_session();
  EXPECT_EQ(table.find_evictable(3), oldest);
}

TEST_F(SessionTableTest, ASilentSessionIsEvictedBeforeOneThatHasHadARequest) {
  add_session();
  const auto silent = add_session();
  add_session();
  ask(1);
  EXPECT_EQ(table.find_evictable(3), silent);
}

TEST_F(SessionTableTest, ASessionWithUnreadInputIsNotEvicted) {
  add_session();
  boost::asio::write(connections.front().client, boost::asio::buffer(std::string_view("GET")));
  EXPECT_EQ(table.find_evictable(2), nullptr);
}

TEST_F(SessionTableTest, BeyondTheLimitTheSessionThatRestsLongestIsSurplus) {
  add_session();
  const auto asks_first = add_session();
  add_session();
  EXPECT_EQ(table.find_surplus_resting(0), nullptr);  // none has had a request
  ask(2);
  ask(1);
  EXPECT_EQ(table.find_surplus_resting(2), nullptr);
  EXPECT_EQ(table.find_surplus_resting(1), asks_first);
}

TEST_F(SessionTableTest, ASessionHasWorkUntilItsFirstRequestIsAnswered) {
  EXPECT_FALSE(table.has_work(clock.now()));
  add_session();
  EXPECT_TRUE(table.has_work(clock.now()));
  EXPECT_FALSE(table.has_work(clock.now() + 1'000'000));  // a client that sends nothing
  ask(1);
  EXPECT_FALSE(table.has_work(clock.now()));
}

TEST_F(SessionTableTest, AClosedSessionIsReportedOnce) {
  const auto session = add_session();
  session->close();
  session->close();
  EXPECT_EQ(owner.closed(), std::vector<ClientId>{1});
}

}  // namespace
}  // namespace quota_gateway::net::testing
