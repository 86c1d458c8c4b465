// Generates the requests that arrive at one simulated gateway, with random times and tenants. Owned
// by SimulatedGateway; all calls are made on its event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>

#include "fleet_options.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Calls a handler whenever a request is due.
class RequestGenerator {
 public:
  // Called when a request is due. May call next_request() and set_rate().
  using DueHandler = std::function<void()>;

  // `random` is shared with the gateway: a separate generator would take another 2.5 KB at each of
  // thousands of gateways.
  RequestGenerator(const FleetOptions& options, std::size_t gateway_index, net::Timers& timers,
                   std::mt19937_64& random, DueHandler on_due);

  // Sets the requests per second, at random times; 0 stops them. Never calls `on_due` before it
  // returns.
  void set_rate(double requests_per_s);
  // Returns the request that is due, arriving at `now` of the gateway's clock.
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
  // Number of rate changes so far. A timer that was set before the last one is ignored.
  int rate_changes_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace quota_gateway::scale
