#include "net/client/lingering_close.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <utility>

#include "net/system_call/interrupted_call.hpp"
#include "net/system_call/socket_io.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Micros kDiscardInterval = 10'000;        // us
constexpr std::size_t kMaxDiscardBytes = 4 << 20;  // in each interval

enum class DiscardResult { kMaySendMore, kFinished };

// Discards received bytes until at least kMaxDiscardBytes are discarded or none is left. MSG_TRUNC
// makes the kernel drop them instead of copying them into the buffer.
DiscardResult discard_received_bytes(LingeringConnection& connection,
                                     ClientSessionContext& context) {
  const int socket = connection.socket().native_handle();
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardBytes) {
    const auto received = repeat_if_interrupted([&] {
      return ::recv(socket, context.read_buffer.data(), context.read_buffer.size(),
                    MSG_TRUNC | MSG_DONTWAIT);
    });
    if (received <= 0) {
      const bool no_input_yet = received < 0 && is_temporary_error(errno);
      return no_input_yet ? DiscardResult::kMaySendMore : DiscardResult::kFinished;
    }
    connection.on_input_discarded();
    discarded += std::size_t(received);
  }
  return DiscardResult::kMaySendMore;
}

void on_readable(error_code ec, std::shared_ptr<LingeringConnection> connection,
                 ClientSessionContext& context) {
  if (!connection->socket().is_open()) {
    return;
  }
  if (ec || discard_received_bytes(*connection, context) == DiscardResult::kFinished) {
    return connection->on_client_finished();
  }
  context.timers.after(kDiscardInterval, [connection = std::move(connection), &context] {
    if (connection->socket().is_open()) {
      discard_input_until_closed(connection, context);
    }
  });
}

}  // namespace

void send_end_of_stream(tcp::socket& socket) {
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
}

// A client that sends 60 MB before it reads would never see its response if its input were not
// consumed. Reading all input as it arrives would delay other clients, so the kernel drops the
// input, at intervals.
void discard_input_until_closed(std::shared_ptr<LingeringConnection> connection,
                                ClientSessionContext& context) {
  tcp::socket& socket = connection->socket();
  wait_readable(socket, [connection = std::move(connection), &context](error_code ec) mutable {
    on_readable(ec, std::move(connection), context);
  });
}

}  // namespace quota_gateway::net
