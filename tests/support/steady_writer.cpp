#include "support/steady_writer.hpp"

#include <utility>

namespace quota_gateway::net::testing {

void SteadyWriter::start(std::shared_ptr<PeerConnection> connection) {
  connection_ = std::move(connection);
  write();
}

void SteadyWriter::write() {
  connection_->socket.async_write_some(asio::buffer(text_) + written_,
                                       [this](error_code error, std::size_t count) {
                                         written_ += count;
                                         if (!error && !is_done()) {
                                           write();
                                         }
                                       });
}

}  // namespace quota_gateway::net::testing
