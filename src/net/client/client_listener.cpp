#include "net/client/client_listener.hpp"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

#include "net/client/socket_status.hpp"
#include "net/event_loop/exception_guard.hpp"
#include "net/system_call/register_descriptor.hpp"
#include "net/system_call/socket_options.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The maximum number of clients divided by this may be idle between requests.
constexpr std::size_t kIdleSessionsDivisor = 3;
// Room for the input that sessions leave unread. If it were full, the system would drop what
// follows, and a session would learn 200 ms later or more that its client has left.
constexpr int kReceiveBufferBytes = 512 << 10;
// Limits for how long the requests of other clients wait while connections are accepted.
constexpr int kMaxAcceptedPerTurn = 64;
constexpr Micros kTimeoutCheckInterval = 250'000;  // us

}  // namespace

ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, MemoryBudget& memory,
                               ClientListenerLimits limits, ClientListenerCallbacks callbacks)
    : timers_(timers),
      max_clients_(limits.max_clients),
      context_{*this, timers, clock, settings, memory, std::move(callbacks), limits.buffers},
      acceptor_(io),
      connections_(io, acceptor_, kMaxAcceptedPerTurn,
                   [this](tcp::socket socket) { on_accepted(std::move(socket)); }) {
  timers_.every(kTimeoutCheckInterval, [this] { enforce_timeouts(); });
}

// ---- The listening socket

error_code ClientListener::listen(const tcp::endpoint& address) {
  error_code ec;
  error_code ignored;
  acceptor_.open(address.protocol(), ec);
  is_receive_buffer_set_ = false;
  if (!ec) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ignored);
    ensure_receive_buffer();
    // Another process of this gateway that could not be asked for its socket may still listen at
    // this address. With SO_REUSEPORT both processes listen, each with its own accept queue.
    const int enabled = 1;
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
    acceptor_.bind(address, ec);
  }
  if (!ec) {
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    acceptor_.close(ignored);
  }
  return ec;
}

void ClientListener::adopt(const tcp::endpoint& address, int listening_socket) {
  const error_code failed = register_descriptor(
      [&](error_code& ec) { acceptor_.assign(address.protocol(), listening_socket, ec); });
  if (failed) {
    throw boost::system::system_error(failed);
  }
}

void ClientListener::start_accepting() {
  is_accepting_ = true;
  context_.handing_over = false;
  accept();
}

// The socket stays open. The processes that hold it share one accept queue, and while another
// process holds it, closing the descriptor here would not stop this event loop from polling it.
void ClientListener::hand_over_new_clients() {
  is_accepting_ = false;
  context_.handing_over = true;
  connections_.stop();
}

// Connections take the size over from the listening socket. It is set again if that has failed.
void ClientListener::ensure_receive_buffer() {
  if (!is_receive_buffer_set_) {
    is_receive_buffer_set_ = set_receive_buffer(acceptor_, kReceiveBufferBytes);
  }
}

void ClientListener::accept() {
  if (is_accepting_) {
    ensure_receive_buffer();
    connections_.accept_next();
  }
}

void ClientListener::on_accepted(tcp::socket socket) {
  run_and_log_exceptions("clients", [&] { start_session(std::move(socket)); });
  if (evict_if_over_limit()) {
    accept();  // else on_session_closed() continues to accept
  }
}

void ClientListener::start_session(tcp::socket socket) {
  const ClientId client = ++last_client_;
  const auto session = std::make_shared<ClientSession>(context_, client, std::move(socket));
  sessions_.add(client, session);
  session->read();
}

// ---- The number of sessions

// If there are too many sessions, closes the one with the highest eviction rank, so that many
// silent clients can't keep other clients out. Returns false if no session may be closed.
bool ClientListener::evict_if_over_limit() {
  if (sessions_.size() <= max_clients_) {
    return true;
  }
  const auto evictable = sessions_.find_evictable(last_client_);
  if (evictable) {
    evictable->evict();
  }
  return evictable != nullptr;
}

// Load balancers limit their connections to a gateway, here to a third of its file descriptors. If
// clients send one request each and stay connected, all of these connections soon become idle, and
// other requests find no connection, wait and are lost while the gateway has almost no load.
// Therefore, if too many connections are idle, the one that has been idle longest is closed. The
// drawback: if more clients than that send requests in turn, each of them must reconnect for each
// request.
void ClientListener::on_session_idle() {
  if (const auto surplus = sessions_.find_surplus_idle(max_clients_ / kIdleSessionsDivisor)) {
    surplus->close_if_idle();
  }
}

void ClientListener::on_session_closed(ClientId client) {
  sessions_.remove(client);
  accept();
}

std::size_t ClientListener::allocated_input_bytes() const {
  return sessions_.allocated_input_bytes();
}

void ClientListener::enforce_timeouts() {
  const Micros now = context_.clock.now();
  for (const auto& session : sessions_.snapshot()) {
    session->enforce_timeouts(now);
  }
}

std::size_t ClientListener::resume() {
  std::size_t resumed = sessions_.resume();
  if (is_accepting_ && sessions_.size() <= max_clients_ && connections_.resume()) {
    ++resumed;
  }
  return resumed;
}

bool ClientListener::check_connected(ClientId client) {
  const auto session = sessions_.find(client);
  return session && session->check_connected();
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

void ClientListener::withdraw_body_piece_request(ClientId client) {
  if (const auto session = sessions_.find(client)) {
    session->withdraw_body_piece_request();
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
  if (connections_.has_pending_connection()) {
    return false;
  }
  return !sessions_.has_unfinished_work(context_.clock.now());
}

}  // namespace quota_gateway::net
