#include "net/client/client_session_fixture.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include "support/event_loop_runner.hpp"

namespace quota_gateway::net::testing {

using boost::asio::ip::tcp;

ConnectedSockets::ConnectedSockets(boost::asio::io_context& io) : gateway(io), client(io) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  client.connect(acceptor.local_endpoint());
  acceptor.accept(gateway);
  gateway.non_blocking(true);
}

bool ClientSessionTest::run_until(const std::function<bool()>& done) {
  return testing::run_until(io, done);
}

}  // namespace quota_gateway::net::testing
