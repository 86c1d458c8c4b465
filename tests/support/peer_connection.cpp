#include "support/peer_connection.hpp"

#include <utility>

namespace quota_gateway::net::testing {

PeerConnection::PeerConnection(tcp::socket accepted, InputHandler on_input)
    : socket(std::move(accepted)), on_input_(std::move(on_input)) {}

void PeerConnection::read() {
  socket.async_read_some(asio::buffer(chunk_),
                         [this, self = shared_from_this()](error_code ec, std::size_t n) {
                           if (ec) {
                             close();
                             return;
                           }
                           pending.append(chunk_.data(), n);
                           on_input_(*this, pending);
                           if (socket.is_open()) {
                             read();
                           }
                         });
}

void PeerConnection::write(const std::string& text) {
  error_code ignored;
  asio::write(socket, asio::buffer(text), ignored);
}

void PeerConnection::close() {
  error_code ignored;
  socket.close(ignored);
  closed = true;
}

void PeerConnection::reset() {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

Listener::Listener(asio::io_context& io, const tcp::endpoint& local_address)
    : acceptor(io, local_address) {
  accept();
}

void Listener::stop() {
  for (const auto& peer : peers) {
    peer->reset();
  }
  acceptor.close();
}

void Listener::resume() {
  hanging_ = false;
  for (const auto& peer : peers) {
    peer->read();
  }
}

void Listener::accept() {
  acceptor.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) {
      return;
    }
    const auto handle_input = [this](PeerConnection& peer, std::string& pending) {
      on_input(peer, pending);
    };
    peers.push_back(std::make_shared<PeerConnection>(std::move(socket), handle_input));
    if (!hanging_) {
      peers.back()->read();
    }
    accept();
  });
}

}  // namespace quota_gateway::net::testing
