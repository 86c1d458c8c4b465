#include "net/counter/counter_liveness.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// The counter closes idle connections after at most 10 s.
constexpr Micros kPingAfterIdle = 2'000'000;  // us
// If no bytes arrive for this time while a call is in flight, the connection is considered dead.
constexpr Micros kNoResponseTimeout = 1'500'000;  // us

}  // namespace

CounterLiveness check_counter_liveness(Micros now, std::optional<Micros> oldest_call_at,
                                       Micros last_received_at) {
  if (!oldest_call_at) {
    const bool is_ping_due = now - last_received_at > kPingAfterIdle;
    return is_ping_due ? CounterLiveness::kIdle : CounterLiveness::kAlive;
  }
  const Micros waiting_since = std::max(*oldest_call_at, last_received_at);
  const bool is_overdue = now - waiting_since > kNoResponseTimeout;
  return is_overdue ? CounterLiveness::kUnresponsive : CounterLiveness::kAlive;
}

}  // namespace quota_gateway::net
