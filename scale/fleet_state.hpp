// What simulated gateways have done and know: of one gateway, and added up over a fleet. Plain
// values; each gateway fills in its own on its event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Since a gateway's start.
struct GatewayTotals {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t counter_calls = 0;
  std::uint64_t counter_calls_not_added = 0;
  std::uint64_t counter_calls_unknown = 0;
  // Processor time within the decision module, in microseconds.
  Micros module_cpu_time = 0;

  GatewayTotals& operator+=(const GatewayTotals& other);
};

struct GatewayState {
  GatewayTotals totals;
  // Of the list in force; 0 before the first.
  std::int64_t revision = 0;
  // Knows a server that is up.
  bool has_list = false;
  // Had such a list and then, for a while, none.
  bool lost_list = false;
  // From its start until it first knew a server that is up, in microseconds.
  std::optional<Micros> time_to_first_list;
  // When it first knew exactly the servers that are expected to be up, by steady_now().
  std::optional<Micros> converged_at;
};

// Of all gateways together. The totals are those of restarted gateways too.
struct FleetState : GatewayTotals {
  std::size_t gateways = 0;
  // Gateways, as are the next two; see GatewayState.
  std::size_t with_list = 0;
  std::size_t converged = 0;
  std::size_t lost_list = 0;
  // 0 while a gateway has no list.
  std::int64_t min_revision = 0;
  // 0: no gateway has had a list yet.
  Micros longest_time_to_first_list = 0;
  // By steady_now(); of the gateways that have converged.
  Micros last_converged_at = 0;
  // Processor time of all threads, in microseconds.
  Micros cpu_time = 0;

  void add(const GatewayState& gateway);
  // The gateways added so far have ended. What they did stays, and so does whether one of them lost
  // its list; none of them knows a list any more.
  void end_gateways();
};

}  // namespace quota_gateway::scale
