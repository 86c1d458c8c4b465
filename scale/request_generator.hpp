// Draws the requests that come to one simulated gateway: when, and of which tenant. Owned by
// SimulatedGateway; all calls come from its event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>

#include "fleet_options.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class RequestGenerator {
 public:
  // May call next_request() and set_rate().
  using DueHandler = std::function<void()>;

  // `random` is shared with the gateway: a generator of its own would take 2.5 KB more at each of
  // thousands of gateways.
  RequestGenerator(const FleetOptions& options, std::size_t gateway_index, net::Timers& timers,
                   std::mt19937_64& random, DueHandler on_due);

  // Requests per second from now on, at random moments; 0: none. Never calls on_due from within.
  void set_rate(double requests_per_s);
  // The request that is due, as it arrives at the given time of the gateway's clock.
  RequestArrived next_request(Micros now);

 private:
  void wait_for_next(int rate_changes);
  std::size_t draw_tenant();

  const FleetOptions& options_;
  const std::size_t gateway_index_;
  net::Timers& timers_;
  std::mt19937_64& random_;
  const DueHandler on_due_;
  double requests_per_s_ = 0;
  // A timer that was set before the last of these is out of date.
  int rate_changes_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace quota_gateway::scale
