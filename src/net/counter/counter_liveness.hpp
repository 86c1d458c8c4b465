// Decides whether the connection to the quota counter is still alive. Pure: CounterClient calls it
// at each of its liveness checks and acts on the result.
#pragma once

#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class CounterLiveness {
  kAlive,
  kIdle,          // nothing is in flight, and a ping is due
  kUnresponsive,  // a call in flight has had no response for too long
};

// `oldest_call_at`: when the call that has waited longest was made; none if no call is in flight.
// `last_received_at`: when bytes last came, or the connection was established.
CounterLiveness check_counter_liveness(Micros now, std::optional<Micros> oldest_call_at,
                                       Micros last_received_at);

}  // namespace quota_gateway::net
