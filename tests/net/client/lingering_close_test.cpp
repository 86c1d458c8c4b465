// The lingering close of a connection after its last response.
#include "net/client/lingering_close.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "net/client/client_session_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

class FakeLingeringConnection final : public LingeringConnection {
 public:
  explicit FakeLingeringConnection(tcp::socket socket) : socket_(std::move(socket)) {}

  tcp::socket& socket() override { return socket_; }
  void on_input_discarded() override { has_discarded_ = true; }
  void on_client_finished() override { client_finished_ = true; }

  bool has_discarded() const { return has_discarded_; }
  bool client_finished() const { return client_finished_; }

 private:
  tcp::socket socket_;
  bool has_discarded_ = false;
  bool client_finished_ = false;
};

class LingeringCloseTest : public ClientSessionTest {
 protected:
  ConnectedSockets sockets{io};
  std::shared_ptr<FakeLingeringConnection> connection =
      std::make_shared<FakeLingeringConnection>(std::move(sockets.gateway));
};

TEST_F(LingeringCloseTest, TheClientSeesTheEndOfStreamAndMayContinueToSend) {
  send_end_of_stream(connection->socket());
  std::array<char, 1> byte{};
  error_code ec;
  sockets.client.read_some(boost::asio::buffer(byte), ec);
  EXPECT_EQ(ec, boost::asio::error::eof);
  EXPECT_EQ(sockets.client.write_some(boost::asio::buffer(byte)), 1U);
}

TEST_F(LingeringCloseTest, InputIsDiscardedUntilTheClientCloses) {
  boost::asio::write(sockets.client, boost::asio::buffer(std::string(1'000, 'x')));
  discard_input_until_closed(connection, context);
  ASSERT_TRUE(run_until([&] { return connection->has_discarded(); }));
  EXPECT_EQ(connection->socket().available(), 0U);
  EXPECT_FALSE(connection->client_finished());
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return connection->client_finished(); }));
}

// The input exceeds the kernel's buffers many times, and the amount that is discarded in one
// interval. If it were not discarded, the client could neither finish sending nor read its
// response.
TEST_F(LingeringCloseTest, AClientThatSendsMuchBeforeItReadsIsNotBlocked) {
  const std::string input(std::size_t{24} << 20, 'x');
  bool sent = false;
  boost::asio::async_write(sockets.client, boost::asio::buffer(input),
                           [&](error_code ec, std::size_t /*size*/) { sent = !ec; });
  discard_input_until_closed(connection, context);
  EXPECT_TRUE(run_until([&] { return sent; }));
  EXPECT_FALSE(connection->client_finished());
}

TEST_F(LingeringCloseTest, AResetCountsAsFinished) {
  discard_input_until_closed(connection, context);
  sockets.client.set_option(boost::asio::socket_base::linger(true, 0));
  sockets.client.close();
  EXPECT_TRUE(run_until([&] { return connection->client_finished(); }));
}

TEST_F(LingeringCloseTest, AConnectionClosedByTheGatewayIsReleasedWithoutACallback) {
  discard_input_until_closed(connection, context);
  EXPECT_GT(connection.use_count(), 1);
  connection->socket().close();
  EXPECT_TRUE(run_until([&] { return connection.use_count() == 1; }));
  EXPECT_FALSE(connection->client_finished());
}

}  // namespace
}  // namespace quota_gateway::net::testing
