// Interface of the decision module, which turns events into actions and makes every decision of the
// gateway. It uses no I/O, clock or threads. Its two callers are the simulator adapter and the
// gateway program.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway {

// One gateway. Deterministic: the same settings, seed, times and events produce the same actions.
// Not thread-safe; instances share no state.
class Gateway {
 public:
  // `seed` must differ between the gateways of a fleet: its random numbers keep the gateways from
  // acting in lockstep.
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Processes events that happened up to `now`, in order, and appends the actions that the caller
  // must perform immediately, in order. `now` must not decrease between calls. Events about
  // requests that have ended are ignored. Not reentrant. Throws only std::bad_alloc.
  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Returns the number of listed endpoints that receive no requests: draining ones, and those that
  // failed and have not responded since.
  int unavailable_endpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quota_gateway
