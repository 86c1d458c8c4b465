#include "net/admin/admin_server.hpp"

#include <iostream>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// A connection over the limit closes the oldest one, which has been read in an earlier turn then.
constexpr int kMaxAcceptedPerTurn = 1;
constexpr Micros kListenRetryDelay = 500'000;

error_code listen_at(tcp::acceptor& acceptor, const tcp::endpoint& address) {
  error_code ec;
  error_code ignored;
  acceptor.open(address.protocol(), ec);
  acceptor.set_option(tcp::acceptor::reuse_address(true), ignored);
  if (!ec) {
    acceptor.bind(address, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  return ec;
}

}  // namespace

AdminServer::AdminServer(asio::io_context& io, Timers& timers, tcp::endpoint address,
                         AdminHandlers handlers)
    : timers_(timers),
      configured_address_(std::move(address)),
      handlers_(std::move(handlers)),
      acceptor_(io),
      accepted_(io, acceptor_, kMaxAcceptedPerTurn, [this](tcp::socket socket) {
        run_and_log_exceptions("admin", [&] { add_connection(std::move(socket)); });
        accepted_.accept_next();
      }) {
  listen();
}

// A failure does not keep the gateway from serving clients. The address may still be held by
// another process, so a later attempt may succeed.
void AdminServer::listen() {
  const error_code ec = listen_at(acceptor_, configured_address_);
  if (!ec) {
    return accepted_.accept_next();
  }
  std::cerr << "admin: " << ec.message() << "; trying again\n";
  error_code ignored;
  acceptor_.close(ignored);
  timers_.after(kListenRetryDelay, [this] { listen(); });
}

void AdminServer::add_connection(tcp::socket socket) {
  if (connections_.size() >= kMaxAdminConnections) {
    // A copy of the pointer, since close() removes the connection from the list.
    const std::shared_ptr<AdminConnection> oldest = connections_.front();
    oldest->close();
  }
  connections_.push_back(std::make_shared<AdminConnection>(
      std::move(socket), timers_, handlers_,
      [this](AdminConnection& closed) { remove_connection(closed); }));
  connections_.back()->start();
}

void AdminServer::remove_connection(const AdminConnection& closed) {
  connections_.remove_if([&closed](const auto& connection) { return connection.get() == &closed; });
}

}  // namespace quota_gateway::net
