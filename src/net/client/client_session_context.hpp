// What all client sessions of one listener share: the listener's side of the contract, the clock,
// the settings, and the state of the process as far as it concerns clients.
#pragma once

#include <array>
#include <cstddef>

#include "net/client/client_callbacks.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// What a session asks of the listener that owns it.
class ClientSessionOwner {
 public:
  // The session has closed its socket; the owner lets go of it.
  virtual void on_session_closed(ClientId client) = 0;
  // The session waits for its client's next request. The owner may close it.
  virtual void on_session_idle() = 0;
  // Unparsed bytes of all sessions together.
  virtual std::size_t buffered_bytes() const = 0;

 protected:
  ~ClientSessionOwner() = default;
};

// Owned by the listener; outlives its sessions.
struct ClientSessionContext {
  ClientSessionOwner& owner;
  Timers& timers;
  const Clock& clock;
  const Settings& settings;
  ClientListenerCallbacks callbacks;
  bool draining = false;      // the gateway shuts down: responses close their connections
  bool handing_over = false;  // another process accepts new clients: so do they then
  // What is being read. One for all, as nothing stays in it between two turns of the event loop.
  std::array<char, std::size_t{64} << 10> read_buffer{};
};

}  // namespace quota_gateway::net
