// The state and the totals of simulated gateways: of one gateway, and added up over a fleet. Plain
// values; each gateway fills in its own on its event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Totals since a gateway's start.
struct GatewayTotals {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t counter_calls = 0;
  std::uint64_t counter_calls_not_added = 0;
  std::uint64_t counter_calls_unknown = 0;
  // CPU time used in the decision module, in microseconds.
  Micros module_cpu_time = 0;

  GatewayTotals& operator+=(const GatewayTotals& other);
};

// The state of one gateway.
struct GatewayState {
  GatewayTotals totals;
  // Revision of the applied list; 0 before the first list.
  std::int64_t revision = 0;
  // Whether the gateway knows a server that is up.
  bool has_list = false;
  // Whether the gateway has known a server that is up and later, for some time, did not know any.
  bool lost_list = false;
  // Microseconds from the gateway's start until it first knew a server that is up.
  std::optional<Micros> time_to_first_list;
  // Time by steady_now() at which the gateway first knew exactly the servers that are expected to
  // be up.
  std::optional<Micros> converged_at;
};

// The state of all gateways. The totals include those of gateways that were restarted.
struct FleetState : GatewayTotals {
  std::size_t gateways = 0;
  // This and the next two are numbers of gateways; see GatewayState.
  std::size_t with_list = 0;
  std::size_t converged = 0;
  std::size_t lost_list = 0;
  // The lowest revision of a gateway; 0 while a gateway has no list.
  std::int64_t min_revision = 0;
  // 0 if no gateway has had a list yet.
  Micros longest_time_to_first_list = 0;
  // Time by steady_now() at which the last of the converged gateways converged.
  Micros last_converged_at = 0;
  // CPU time of all threads, in microseconds.
  Micros cpu_time = 0;

  void add(const GatewayState& gateway);
  // Marks the gateways added so far as ended. Their totals, lost lists and longest time to the
  // first list are kept; no gateway is counted as running, having a list or converged.
  void end_gateways();
};

}  // namespace quota_gateway::scale
