// The discovery agent, on the loop of the test.
#pragma once

#include <string>
#include <vector>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Responds to a watch with its header and the lists that the test sends.
class FakeDiscovery : public Listener {
 public:
  explicit FakeDiscovery(asio::io_context& io) : Listener(io) {}

  // On the newest connection: bytes as they are, or as one chunk.
  void send_raw(const std::string& bytes) { peers.back()->write(bytes); }
  void send_chunk(const std::string& text) { send_raw(chunk(text)); }
  // The text as one chunk of a response.
  static std::string chunk(const std::string& text);

  std::vector<std::string> request_targets;  // the targets
  std::string initial_body = "\n";           // what a watch begins with
  bool unresponsive = false;                 // requests get no response
  std::string error_response;                // if not empty: the response in place of a watch

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;
};

}  // namespace quota_gateway::net::testing
