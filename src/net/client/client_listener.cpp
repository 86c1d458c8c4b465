#include "net/client/client_listener.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// One in so many of the largest number of clients may rest between requests.
constexpr std::size_t kRestingShare = 3;
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
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const ClientId client = ++last_client_;
  const auto session = std::make_shared<ClientSession>(context_, client, std::move(socket));
  sessions_.emplace(client, session);
  session->read();
  if (sessions_.size() <= max_clients_ || evict_session()) {
    accept();  // else once a session has ended
  }
}

// ---- The number of sessions

// Closes the session that is needed least, so that a crowd of silent clients doesn't keep others
// out; of several, the one that is longest in its state. False if all are needed.
bool ClientListener::evict_session() {
  std::shared_ptr<ClientSession> chosen;
  EvictionRank highest = EvictionRank::kNever;
  for (const auto& [client, session] : sessions_) {
    if (client == last_client_) {
      continue;
    }
    const EvictionRank rank = session->eviction_rank();
    if (rank == EvictionRank::kNever || rank < highest) {
      continue;
    }
    if (rank == highest && session->state_since() >= chosen->state_since()) {
      continue;
    }
    highest = rank;
    chosen = session;
  }
  if (chosen) {
    chosen->close();
  }
  return chosen != nullptr;
}

// Load balancers may hold only so many connections to a gateway: a third of its descriptors here.
// Where clients ask once and stay connected, all of these would soon be idle, and requests would
// find none, wait and be lost while the gateway has next to nothing to do. So beyond a number, the
// connection that has been idle longest is closed. The cost: where more clients than that do come
// back in turn, each connects anew for each request.
void ClientListener::on_session_idle() {
  std::shared_ptr<ClientSession> longest;
  std::size_t resting = 0;
  for (const auto& [client, session] : sessions_) {
    if (!session->rests_between_requests()) {
      continue;
    }
    ++resting;
    if (!longest || session->state_since() < longest->state_since()) {
      longest = session;
    }
  }
  if (resting > max_clients_ / kRestingShare) {
    longest->close_if_idle();
  }
}

void ClientListener::on_session_closed(ClientId client) {
  sessions_.erase(client);
  accept();
}

std::size_t ClientListener::buffered_bytes() const {
  std::size_t total = 0;
  for (const auto& [client, session] : sessions_) {
    total += session->buffered_bytes();
  }
  return total;
}

void ClientListener::enforce_timeouts() {
  const Micros now = context_.clock.now();
  const auto sessions = sessions_;  // sessions that are closed leave the table
  for (const auto& [client, session] : sessions) {
    session->enforce_timeouts(now);
  }
  timers_.after(kTimeoutCheckInterval, [this] { enforce_timeouts(); });
}

// ---- Responses

std::shared_ptr<ClientSession> ClientListener::find(ClientId client) const {
  const auto found = sessions_.find(client);
  return found == sessions_.end() ? nullptr : found->second;
}

void ClientListener::respond(ClientId client, const ClientResponse& response) {
  if (const auto session = find(client)) {
    session->respond(response);
  }
}

void ClientListener::begin_response(ClientId client, std::optional<std::uint64_t> content_length,
                                    const std::string& piece) {
  if (const auto session = find(client)) {
    session->begin_response(content_length, piece);
  }
}

void ClientListener::send_body_piece(ClientId client, std::string piece) {
  if (const auto session = find(client)) {
    session->send_body_piece(std::move(piece));
  }
}

void ClientListener::finish_response(ClientId client) {
  if (const auto session = find(client)) {
    session->finish_response();
  }
}

void ClientListener::abort_response(ClientId client) {
  if (const auto session = find(client)) {
    session->abort_response();
  }
}

void ClientListener::request_body_piece(ClientId client) {
  if (const auto session = find(client)) {
    session->request_body_piece();
  }
}

// ---- Shutdown

void ClientListener::drain() {
  context_.draining = true;
  const auto sessions = sessions_;  // sessions that are closed leave the table
  for (const auto& [client, session] : sessions) {
    session->close_if_idle();
  }
}

bool ClientListener::is_idle() {
  pollfd queue{acceptor_.native_handle(), POLLIN, 0};
  if (!context_.handing_over && ::poll(&queue, 1, 0) > 0) {
    return false;
  }
  const Micros now = context_.clock.now();
  return std::none_of(sessions_.begin(), sessions_.end(), [now](const Sessions::value_type& entry) {
    return entry.second->has_work(now);
  });
}

}  // namespace quota_gateway::net
