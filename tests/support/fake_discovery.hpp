// A fake of the discovery agent. It runs in the event loop of the test.
#pragma once

#include <string>
#include <vector>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Responds to each watch request with a chunked response that stays open. The test sends endpoint
// lists on it.
class FakeDiscovery : public Listener {
 public:
  explicit FakeDiscovery(asio::io_context& io) : Listener(io) {}

  // Sends bytes unchanged on the newest connection.
  void send_raw(const std::string& bytes) { peers.back()->write(bytes); }
  // Sends the text as one chunk on the newest connection.
  void send_chunk(const std::string& text) { send_raw(chunk(text)); }
  // Encodes the text as one chunk of a response with chunked transfer encoding.
  static std::string chunk(const std::string& text);

  // The targets of all requests received.
  std::vector<std::string> request_targets;
  // The first chunk of each watch response.
  std::string initial_body = "\n";
  // If set, requests get no response.
  bool unresponsive = false;
  // If not empty, the complete response that is sent in place of a watch response.
  std::string error_response;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;
};

}  // namespace quota_gateway::net::testing
