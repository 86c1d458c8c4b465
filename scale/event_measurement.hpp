// Measures what one event costs a test fleet: bytes, CPU time, memory, lists, requests to
// discovery, and the time until all gateways have converged. The scenarios in events.cpp create one
// object for each event, on their thread.
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

// Measures from its construction, which must be directly before the event, until finish().
class EventMeasurement {
 public:
  // Keeps references to the fleet, which must have been started, and to the report. Measurements
  // are reported at `sizes` and at the number of gateways.
  EventMeasurement(TestFleet& fleet, Report& report, std::string scenario,
                   std::map<std::string, double> sizes);

  // Waits until all gateways have converged, for at most 30 s, and reports the measurements of the
  // event; their names begin with `name`. If the gateways have not converged in time, the report
  // notes that.
  void finish(const std::string& name);
  void add_measurement(const std::string& name, double value, const std::string& unit);

 private:
  void report_convergence(const std::string& name, bool converged, const FleetState& state);
  void report_usage(const std::string& name, const FleetUsage& usage);
  void report_lists(const std::string& name, const FleetUsage& usage, const FleetState& state,
                    std::size_t min_with_list);
  // Reports the requests to discovery: their number, the highest number in one second, and that
  // number divided by the mean per second.
  void report_requests(const std::string& name, const FleetUsage& usage);
  // Returns the requests of the second that were made before the event.
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
