#include "net/client/client_listener.hpp"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <utility>

#include "net/client/socket_status.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// One in this many of the largest number of clients may rest between requests.
constexpr std::size_t kRestingDivisor = 3;
constexpr Micros kTimeoutCheckInterval = 250'000;
constexpr Micros kAcceptRetryDelay = 20'000;

}  // namespace

ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, std::size_t max_clients,
                               ClientListenerCallbacks callbacks)
    : timers_(timers),
      max_clients_(max_clients),
      context_{*this, timers, clock, settings, std::move(callbacks)},
      acceptor_(io) {
  enforce_timeouts();
}

// ---- The listening socket

void ClientListener::listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  error_code ignored;
  acceptor_.set_option(tcp::acceptor::reuse_address(true), ignored);
  // A process of this gateway that could not be asked for its socket may still listen here. Then
  // both do, each with a queue of its own.
  const int enabled = 1;
  ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
  acceptor_.bind(address);
  acceptor_.listen();
}

void ClientListener::adopt(const tcp::endpoint& address, int listening_socket) {
  acceptor_.assign(address.protocol(), listening_socket);
}

void ClientListener::start_accepting() {
  is_accepting_ = true;
  context_.handing_over = false;
  accept();
}

// The socket stays open: its queue belongs to every process that holds it, and were it closed here,
// this event loop would go on polling it for as long as the other process has it.
void ClientListener::hand_over_new_clients() {
  is_accepting_ = false;
  context_.handing_over = true;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ClientListener::accept() {
  if (accept_pending_ || !is_accepting_) {
    return;
  }
  accept_pending_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    accept_pending_ = false;
    on_accepted(ec, std::move(socket));
  });
}

void ClientListener::on_accepted(error_code ec, tcp::socket socket) {
  if (ec == asio::error::operation_aborted) {
    return accept();  // new clients were handed over, and may have been taken back since
  }
  if (ec) {  // most likely out of descriptors, of which sessions that end free some
    timers_.after(kAcceptRetryDelay, [this] { accept(); });
    return;
  }
  start_session(std::move(socket));
  if (make_room()) {
    accept();  // else once a session has ended
  }
}

void ClientListener::start_session(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const ClientId client = ++last_client_;
  const auto session = std::make_shared<ClientSession>(context_, client, std::move(socket));
  sessions_.add(client, session);
  session->read();
}

// ---- The number of sessions

// Where there are too many sessions, closes the one that is needed least. Without this, a crowd of
// silent clients would keep others out. False if all are needed.
bool ClientListener::make_room() {
  if (sessions_.size() <= max_clients_) {
    return true;
  }
  const auto evictable = sessions_.find_evictable(last_client_);
  if (evictable) {
    evictable->close();
  }
  return evictable != nullptr;
}

// Load balancers may hold only so many connections to a gateway: a third of its descriptors here.
// Where clients ask once and stay connected, all of these would soon be idle, and requests would
// find none, wait and be lost while the gateway has next to nothing to do. So beyond a number, the
// connection that has been idle longest is closed. The cost: where more clients than that do come
// back in turn, each connects anew for each request.
void ClientListener::on_session_idle() {
  if (const auto surplus = sessions_.find_surplus_resting(max_clients_ / kRestingDivisor)) {
    surplus->close_if_idle();
  }
}

void ClientListener::on_session_closed(ClientId client) {
  sessions_.remove(client);
  accept();
}

std::size_t ClientListener::buffered_bytes() const {
  return sessions_.buffered_bytes();
}

void ClientListener::enforce_timeouts() {
  const Micros now = context_.clock.now();
  for (const auto& session : sessions_.snapshot()) {
    session->enforce_timeouts(now);
  }
  timers_.after(kTimeoutCheckInterval, [this] { enforce_timeouts(); });
}

// ---- Responses

void ClientListener::respond(ClientId client, const ClientResponse& response) {
  if (const auto session = sessions_.find(client)) {
    session->respond(response);
  }
}

void ClientListener::begin_response(ClientId client, std::optional<std::uint64_t> content_length,
                                    const std::string& piece) {
  if (const auto session = sessions_.find(client)) {
    session->begin_response(content_length, piece);
  }
}

void ClientListener::send_body_piece(ClientId client, std::string piece) {
  if (const auto session = sessions_.find(client)) {
    session->send_body_piece(std::move(piece));
  }
}

void ClientListener::finish_response(ClientId client) {
  if (const auto session = sessions_.find(client)) {
    session->finish_response();
  }
}

void ClientListener::abort_response(ClientId client) {
  if (const auto session = sessions_.find(client)) {
    session->abort_response();
  }
}

void ClientListener::request_body_piece(ClientId client) {
  if (const auto session = sessions_.find(client)) {
    session->request_body_piece();
  }
}

// ---- Shutdown

void ClientListener::drain() {
  context_.draining = true;
  for (const auto& session : sessions_.snapshot()) {
    session->close_if_idle();
  }
}

bool ClientListener::is_idle() {
  if (!context_.handing_over && has_pending_connection(acceptor_)) {
    return false;
  }
  return !sessions_.has_work(context_.clock.now());
}

}  // namespace quota_gateway::net
