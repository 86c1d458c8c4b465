#include "fleet_state.hpp"

#include <algorithm>

namespace quota_gateway::scale {

GatewayTotals& GatewayTotals::operator+=(const GatewayTotals& other) {
  requests += other.requests;
  attempts += other.attempts;
  served += other.served;
  rejected += other.rejected;
  failed += other.failed;
  counter_calls += other.counter_calls;
  counter_calls_not_added += other.counter_calls_not_added;
  counter_calls_unknown += other.counter_calls_unknown;
  module_cpu_time += other.module_cpu_time;
  return *this;
}

void FleetState::add(const GatewayState& gateway) {
  *this += gateway.totals;
  min_revision = gateways == 0 ? gateway.revision : std::min(min_revision, gateway.revision);
  ++gateways;
  with_list += gateway.has_list ? 1 : 0;
  lost_list += gateway.lost_list ? 1 : 0;
  longest_time_to_first_list =
      std::max(longest_time_to_first_list, gateway.time_to_first_list.value_or(0));
  if (gateway.converged_at) {
    ++converged;
    last_converged_at = std::max(last_converged_at, *gateway.converged_at);
  }
}

void FleetState::end_gateways() {
  gateways = 0;
  with_list = 0;
  converged = 0;
  min_revision = 0;
  last_converged_at = 0;
}

}  // namespace quota_gateway::scale
