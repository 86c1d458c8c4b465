// The decision module: events in, actions out. No I/O, no clock, no threads; every decision of the
// gateway is made behind this interface. The simulator adapter and the gateway program are its two
// callers.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway {

// One gateway. Deterministic: the same settings, seed, times and events give the same actions.
// Not thread-safe; instances share nothing.
class Gateway {
 public:
  // `seed`: draws what gateways must not do in step. Differs between the gateways of a fleet.
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Processes events that happened up to `now`, in order, and appends what is to be done at once,
  // in order. `now` never goes back between calls. Events about requests that have ended are
  // ignored. Must not be called from within itself, that is while the actions are carried out by a
  // callback of this call. Throws only std::bad_alloc.
  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Number of listed endpoints that get no requests: draining ones, and those that failed and have
  // not responded since.
  int unavailable_endpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quota_gateway
