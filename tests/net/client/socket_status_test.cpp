// Queries of the state of a socket that is not read.
#include "net/client/socket_status.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

#include "net/client/client_session_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using boost::asio::ip::tcp;

class SocketStatusTest : public ClientSessionTest {
 protected:
  ConnectedSockets sockets{io};
};

TEST_F(SocketStatusTest, UnreadInputIsDetected) {
  EXPECT_FALSE(has_unread_input(sockets.gateway));
  boost::asio::write(sockets.client, boost::asio::buffer(std::string_view("x")));
  EXPECT_TRUE(run_until([&] { return has_unread_input(sockets.gateway); }));
}

TEST_F(SocketStatusTest, AClosedSocketHasNoUnreadInput) {
  sockets.gateway.close();
  EXPECT_FALSE(has_unread_input(sockets.gateway));
}

TEST_F(SocketStatusTest, ACloseIsDetectedDespiteUnreadInput) {
  boost::asio::write(sockets.client, boost::asio::buffer(std::string_view("x")));
  EXPECT_FALSE(has_peer_closed(sockets.gateway));
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return has_peer_closed(sockets.gateway); }));
  EXPECT_TRUE(has_unread_input(sockets.gateway));
}

TEST_F(SocketStatusTest, AResetCountsAsAClose) {
  sockets.client.set_option(boost::asio::socket_base::linger(true, 0));
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return has_peer_closed(sockets.gateway); }));
}

TEST_F(SocketStatusTest, AConnectionIsPendingUntilItIsAccepted) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  EXPECT_FALSE(has_pending_connection(acceptor));
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  EXPECT_TRUE(run_until([&] { return has_pending_connection(acceptor); }));
  acceptor.accept();
  EXPECT_FALSE(has_pending_connection(acceptor));
}

}  // namespace
}  // namespace quota_gateway::net::testing
