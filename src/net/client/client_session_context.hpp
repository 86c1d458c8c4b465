// The objects that all client sessions of one listener share: the owner's interface, the callbacks,
// the clock, the settings, and whether the process is shutting down or handing over its clients.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "net/client/client_callbacks.hpp"
#include "net/client/session_close.hpp"
#include "net/event_loop/event_loop_lag.hpp"
#include "net/event_loop/timers.hpp"
#include "net/http/buffer_limits.hpp"
#include "net/memory/memory_budget.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// The interface through which a session reports to the listener that owns it.
class ClientSessionOwner {
 public:
  // The session has closed its socket. The owner must release the session.
  virtual void on_session_closed(ClientId client) = 0;
  // The session has completed a response and waits for the next request. The owner may close it.
  virtual void on_session_idle() = 0;
  // Total number of bytes for which all sessions hold memory for their input.
  virtual std::size_t allocated_input_bytes() const = 0;

 protected:
  ~ClientSessionOwner() = default;
};

// Owned by the listener; outlives its sessions.
struct ClientSessionContext {
  ClientSessionOwner& owner;
  Timers& timers;
  const Clock& clock;
  const Settings& settings;
  MemoryBudget& memory;
  ClientListenerCallbacks callbacks;
  BufferLimits buffer_limits;
  EventLoopLag event_loop_lag{timers, clock};
  UnansweredRequestLog unanswered_requests = {};
  CrossedEndLog crossed_ends = {};
  // Segments that the kernel dropped on connections that are closed by now.
  std::uint64_t dropped_input_segments = 0;
  bool draining = false;  // the gateway is shutting down; each response closes its connection
  // Another process accepts new clients. Each response closes its connection, so that the client
  // reconnects to that process.
  bool handing_over = false;
  // Receives the input of a read. All sessions share it, because no data stays in it between two
  // event loop handlers.
  std::array<char, std::size_t{64} << 10> read_buffer{};
};

}  // namespace quota_gateway::net
