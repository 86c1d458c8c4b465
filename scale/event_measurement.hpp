// Measures what one event costs a test fleet: bytes, processor time, memory, lists, requests to
// discovery, and how long until all gateways have converged. Made by the scenarios of events.cpp on
// their thread, for one event each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "fleet_state.hpp"
#include "fleet_usage.hpp"
#include "quota_gateway/gateway.hpp"
#include "report.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {

// From its construction, which must be just before the event, to finish().
class EventMeasurement {
 public:
  // Refers to the fleet, which must have started, and to the report. Figures are reported at the
  // sizes given and at the number of gateways.
  EventMeasurement(TestFleet& fleet, Report& report, std::string scenario,
                   std::map<std::string, double> sizes);

  // Waits until all gateways have converged, 30 s at most, and reports what the event took. If they
  // have not by then, the report says so. The figures' names begin with `name`.
  void finish(const std::string& name);
  void add_figure(const std::string& name, double value, const std::string& unit);

 private:
  void report_convergence(const std::string& name, bool converged, const FleetState& state);
  void report_usage(const std::string& name, const FleetUsage& usage);
  void report_lists(const std::string& name, const FleetUsage& usage, const FleetState& state,
                    std::size_t least_with_list);
  // Requests to discovery: all, those of the highest second, and that second over the mean.
  void report_requests(const std::string& name, const FleetUsage& usage);
  // Requests of the second that were made before the event, and not because of it.
  double requests_before(Micros second) const;

  TestFleet& fleet_;
  Report& report_;
  const std::string scenario_;
  std::map<std::string, double> sizes_;
  const FleetUsage usage_before_;
  const FleetState state_before_;
  const std::uint64_t memory_before_;
  std::uint64_t peak_memory_;
  const Micros started_at_;
};

}  // namespace quota_gateway::scale
