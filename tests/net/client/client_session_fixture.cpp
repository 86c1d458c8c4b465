#include "net/client/client_session_fixture.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <chrono>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kRunTimeout = 20'000'000;

}  // namespace

using boost::asio::ip::tcp;

ConnectedSockets::ConnectedSockets(boost::asio::io_context& io) : gateway(io), client(io) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  client.connect(acceptor.local_endpoint());
  acceptor.accept(gateway);
  gateway.non_blocking(true);
}

bool ClientSessionTest::run_until(const std::function<bool()>& done) {
  const Micros end = clock.now() + kRunTimeout;
  while (!done()) {
    if (clock.now() > end) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

}  // namespace quota_gateway::net::testing
