// A fake of the shared quota counter. It runs in the event loop of the test.
#pragma once

#include <hiredis/hiredis.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Adds the amount of each call to the total of the call's counter key and replies with that total.
// Tests change this behavior through the public fields.
class FakeCounter : public Listener {
 public:
  using Listener::Listener;

  // If set, calls still add to the totals, but neither calls nor pings get a reply.
  bool silent = false;
  // If set, the bytes to send in place of each reply with a total.
  std::optional<std::string> reply_override;
  // Number of calls after which the counter resets the connection. The last of these calls adds to
  // its total and gets no reply. 0: never.
  std::size_t calls_per_reset = 0;
  // All calls received, without pings: the name of the command and its arguments.
  std::vector<std::vector<std::string>> calls;
  // Totals by counter key.
  std::map<std::string, double> totals;
  // The connection that sent the most recent input.
  std::shared_ptr<PeerConnection> last_peer;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;

 private:
  using Command = std::vector<std::string>;

  void on_command(PeerConnection& peer, const Command& command);

  // The protocol parser of each connection.
  std::map<PeerConnection*, std::shared_ptr<redisReader>> readers_;
};

}  // namespace quota_gateway::net::testing
