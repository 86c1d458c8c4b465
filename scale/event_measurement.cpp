#include "event_measurement.hpp"

#include <algorithm>
#include <utility>

#include "clocks.hpp"
#include "process_resources.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kMicrosInSecond = 1'000'000;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kBytesPerMegabyte = 1e6;

// Maximum time to wait for the fleet to converge after an event. The report notes if it has not
// converged by then.
constexpr Micros kEventTimeout = 30'000'000;
// The mean rate of requests to discovery is taken over this many seconds, or over the duration of
// the event if that is longer.
constexpr double kMinMeanWindowS = 10;

}  // namespace

EventMeasurement::EventMeasurement(TestFleet& fleet, Report& report, std::string scenario,
                                   std::map<std::string, double> sizes)
    : fleet_(fleet),
      report_(report),
      scenario_(std::move(scenario)),
      sizes_(std::move(sizes)),
      usage_before_(fleet.usage()),
      state_before_(fleet.fleet().state()),
      memory_before_(allocated_bytes()),
      peak_memory_(memory_before_),
      started_at_(steady_now()) {
  sizes_["gateways"] = double(fleet.layout().gateways);
}

void EventMeasurement::finish(const std::string& name) {
  const std::size_t gateways = fleet_.layout().gateways;
  std::size_t min_with_list = gateways;
  FleetState last_state;
  const bool converged = fleet_.fleet().wait_until(
      [&](const FleetState& state) {
        peak_memory_ = std::max(peak_memory_, allocated_bytes());
        min_with_list = std::min(min_with_list, state.with_list);
        last_state = state;
        return state.converged == gateways;
      },
      kEventTimeout);
  const FleetUsage usage = fleet_.usage().since(usage_before_);
  report_convergence(name, converged, last_state);
  report_usage(name, usage);
  report_lists(name, usage, last_state, min_with_list);
  report_requests(name, usage);
}

void EventMeasurement::add_measurement(const std::string& name, double value,
                                       const std::string& unit) {
  report_.add({scenario_, name, sizes_, value, unit});
}

void EventMeasurement::report_convergence(const std::string& name, bool converged,
                                          const FleetState& state) {
  if (converged) {
    const Micros took = std::max<Micros>(0, state.last_converged_at - started_at_);
    add_measurement(name + ".until_right", double(took) / kMicrosPerMilli, "ms");
    return;
  }
  const std::size_t gateways = fleet_.layout().gateways;
  const Micros timeout_s = kEventTimeout / kMicrosInSecond;
  report_.note(scenario_, name + ": only " + std::to_string(state.converged) + " of " +
                              std::to_string(gateways) + " gateways had converged after " +
                              std::to_string(timeout_s) + " s");
}

void EventMeasurement::report_usage(const std::string& name, const FleetUsage& usage) {
  const auto gateways = double(fleet_.layout().gateways);
  add_measurement(name + ".bytes", double(usage.discovery.traffic.sent) / gateways,
                  "bytes/gateway");
  add_measurement(name + ".agents_cpu", double(usage.agents_cpu) / kMicrosPerMilli, "ms");
  add_measurement(name + ".gateways_cpu", double(usage.gateways_cpu) / gateways / kMicrosPerMilli,
                  "ms/gateway");
  add_measurement(name + ".module_cpu", double(usage.module_cpu) / gateways / kMicrosPerMilli,
                  "ms/gateway");
  const double more_memory = double(peak_memory_) - double(memory_before_);
  add_measurement(name + ".memory_more", more_memory / kBytesPerMegabyte, "MB");
}

void EventMeasurement::report_lists(const std::string& name, const FleetUsage& usage,
                                    const FleetState& state, std::size_t min_with_list) {
  const std::size_t gateways = fleet_.layout().gateways;
  add_measurement(name + ".whole_lists", double(usage.discovery.full_lists), "lists");
  if (usage.discovery.full_lists > gateways) {
    report_.note(scenario_,
                 name +
                     ": more complete lists than gateways: simulated gateways share a CPU, and a "
                     "gateway that does not receive a list in time requests it again");
  }
  add_measurement(name + ".differences", double(usage.discovery.partial_lists), "lists");
  // Counted since the start of the fleet. Restarted gateways are not included: they start without a
  // list.
  add_measurement(name + ".were_without_list", double(state.lost_list), "gateways");
  add_measurement(name + ".least_with_list", double(min_with_list), "gateways");
  add_measurement(name + ".failed", double(state.failed - state_before_.failed), "requests");
  add_measurement(name + ".log_lines", double(fleet_.log_lines()) / double(gateways),
                  "lines/gateway");
}

void EventMeasurement::report_requests(const std::string& name, const FleetUsage& usage) {
  double highest = 0;
  double sum = 0;
  const auto& by_second = usage.discovery.requests_by_second;
  const Micros first_second = started_at_ / kMicrosInSecond;
  for (auto it = by_second.lower_bound(first_second); it != by_second.end(); ++it) {
    const double requests = double(it->second) - requests_before(it->first);
    highest = std::max(highest, requests);
    sum += requests;
  }
  add_measurement(name + ".asks", sum, "asks");
  if (sum == 0) {
    return;
  }
  const double mean = sum / std::max(kMinMeanWindowS, usage.seconds());
  add_measurement(name + ".asks_highest_second", highest, "asks");
  add_measurement(name + ".asks_highest_over_mean", highest / mean, "times");
}

double EventMeasurement::requests_before(Micros second) const {
  const auto& by_second = usage_before_.discovery.requests_by_second;
  const auto found = by_second.find(second);
  return found == by_second.end() ? 0 : double(found->second);
}

}  // namespace quota_gateway::scale
