// The shared quota counter, on the loop of the test.
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

// Keeps a total for each name and replies with it, unless its fields say otherwise.
class FakeCounter : public Listener {
 public:
  using Listener::Listener;

  bool silent = false;                        // calls are added and get no reply
  std::optional<std::string> reply_override;  // raw, in place of the total
  // Calls after which a connection is reset; the last of them is added and gets no reply. 0: never.
  std::size_t calls_per_reset = 0;
  std::vector<std::vector<std::string>> calls;
  std::map<std::string, double> totals;
  std::shared_ptr<PeerConnection> last_peer;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;

 private:
  using Command = std::vector<std::string>;

  void on_command(PeerConnection& peer, const Command& command);

  std::map<PeerConnection*, std::shared_ptr<redisReader>> readers_;
};

}  // namespace quota_gateway::net::testing
