#include "net/client/lingering_close.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <utility>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Micros kDiscardInterval = 10'000;
constexpr std::size_t kMaxDiscardBytes = 4 << 20;  // in each interval

}  // namespace

void LingeringClose::send_end() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// Without this, a client that sends 60 MB before it reads would never see its response. Reading all
// of it as it arrives would delay the other clients, so it is dropped in the kernel, at intervals.
void LingeringClose::discard_input(std::shared_ptr<LingeringClose> self) {
  socket_.async_wait(tcp::socket::wait_read, [this, self = std::move(self)](error_code ec) mutable {
    on_readable(ec, std::move(self));
  });
}

void LingeringClose::on_readable(error_code ec, std::shared_ptr<LingeringClose> self) {
  if (!socket_.is_open()) {
    return;
  }
  if (ec || discard_received_bytes() == Peer::kFinished) {
    return owner_.on_client_finished();
  }
  context_.timers.after(kDiscardInterval, [self = std::move(self)] {
    if (self->socket_.is_open()) {
      self->discard_input(self);
    }
  });
}

LingeringClose::Peer LingeringClose::discard_received_bytes() {
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardBytes) {
    const auto received = ::recv(socket_.native_handle(), context_.read_buffer.data(),
                                 context_.read_buffer.size(), MSG_TRUNC | MSG_DONTWAIT);
    if (received <= 0) {
      const bool no_more_yet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      return no_more_yet ? Peer::kMaySendMore : Peer::kFinished;
    }
    owner_.on_input_discarded();
    discarded += std::size_t(received);
  }
  return Peer::kMaySendMore;
}

}  // namespace quota_gateway::net
