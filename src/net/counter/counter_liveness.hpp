// Determines whether the connection to the quota counter is still alive. A pure function;
// CounterClient calls it periodically and acts on the result.
#pragma once

#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The state of an established connection to the counter.
enum class CounterLiveness {
  kAlive,
  kIdle,          // no call is in flight, and a ping is due
  kUnresponsive,  // a call is in flight, and no bytes have arrived for too long
};

// Returns the state of the connection at the time `now`.
// `oldest_call_at`: time at which the oldest call in flight was made; empty if none is in flight.
// `last_received_at`: time at which bytes last arrived or the connection was established.
CounterLiveness check_counter_liveness(Micros now, std::optional<Micros> oldest_call_at,
                                       Micros last_received_at);

}  // namespace quota_gateway::net
