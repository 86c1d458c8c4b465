// Writes a long text on a connection of a fake server, at the pace of the peer.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Writes a text to a connection as fast as the peer reads it. Must exist as long as the event loop
// runs.
class SteadyWriter {
 public:
  explicit SteadyWriter(std::string text) : text_(std::move(text)) {}

  void start(std::shared_ptr<PeerConnection> connection);
  std::size_t written() const { return written_; }
  bool is_done() const { return written_ == text_.size(); }

 private:
  void write();

  const std::string text_;
  std::shared_ptr<PeerConnection> connection_;
  std::size_t written_ = 0;
};

}  // namespace quota_gateway::net::testing
