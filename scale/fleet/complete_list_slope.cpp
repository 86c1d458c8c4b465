// The fleet.lists scenario: the cost of delivering a complete list to each gateway of a fleet, by
// listed servers.
#include <algorithm>
#include <string>

#include "clocks.hpp"
#include "fleet/fleet_slopes.hpp"
#include "fleet_scenario.hpp"
#include "fleet_usage.hpp"
#include "measurement_recorder.hpp"
#include "process_resources.hpp"
#include "test_fleet.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.lists";
constexpr double kDefaultSeconds = 120;
constexpr Micros kListTimeout = 20'000'000;  // us

std::size_t gateway_count(const Options& options) {
  return ScenarioSizes{options}.gateways(4, 4);
}

std::size_t server_count(const Options& options) {
  return ScenarioSizes{options}.servers(170'000, 1'700);
}

// Measures a fleet from its start until each gateway has the complete list.
class ListTrial {
 public:
  ListTrial(const Options& options, std::size_t servers, const MeasurementRecorder& recorder)
      : recorder_(recorder),
        servers_(servers),
        sizes_({{"servers", double(servers)}}),
        gateways_(double(gateway_count(options))),
        allocated_before_(allocated_bytes()),
        test_fleet_(test_fleet_options(options, gateway_count(options), servers)),
        allocated_by_agents_(allocated_bytes() - allocated_before_) {}

  void measure(Micros timeout) {
    const auto before = test_fleet_.usage();
    const Micros started_at = steady_now();
    test_fleet_.start();
    const bool converged = test_fleet_.wait_until_converged(timeout);
    const Micros duration = steady_now() - started_at;
    const auto usage = test_fleet_.usage().since(before);
    // A list that is not accepted in time is sent repeatedly. Its measurements have names of their
    // own, because they do not lie on the line through those of accepted lists.
    const double kilobytes = double(usage.discovery.traffic.sent) / gateways_ / 1e3;
    recorder_.add(converged ? "bytes" : "bytes_in_vain", sizes_, kilobytes, "KB/watcher");
    const double lists = double(usage.discovery.full_lists) / gateways_;
    recorder_.add(converged ? "sent" : "sent_in_vain", sizes_, lists, "lists/watcher");
    recorder_.add("agent_memory", sizes_, double(allocated_by_agents_) / 1e6, "MB");
    if (converged) {
      record_cost(usage, duration);
    } else {
      note_not_converged(duration);
    }
  }

 private:
  void record_cost(const FleetUsage& usage, Micros duration) const {
    recorder_.add("until_right", sizes_, double(duration) / 1e3, "ms");
    recorder_.add("agent_cpu", sizes_, double(usage.agents_cpu) / 1e3, "ms");
    recorder_.add("gateway_cpu", sizes_, double(usage.gateways_cpu) / gateways_ / 1e3,
                  "ms/gateway");
    recorder_.add("module_cpu", sizes_, double(usage.module_cpu) / gateways_ / 1e3, "ms/gateway");
    const std::uint64_t allocated = allocated_bytes() - (allocated_before_ + allocated_by_agents_);
    recorder_.add("gateway_memory", sizes_, double(allocated) / gateways_ / 1e6, "MB/gateway");
  }

  void note_not_converged(Micros duration) const {
    recorder_.note("a list of " + std::to_string(servers_) +
                   " servers was not accepted by all gateways within " +
                   std::to_string(duration / 1'000'000) +
                   " s; its bytes are those sent in this time");
  }

  const MeasurementRecorder& recorder_;
  const std::size_t servers_;
  const MeasuredSizes sizes_;
  const double gateways_;
  const std::uint64_t allocated_before_;
  TestFleet test_fleet_;
  const std::uint64_t allocated_by_agents_;  // with the list, before any gateway starts
};

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  for (const std::size_t divisor : {1000, 100, 10, 3, 1}) {
    const std::size_t servers = std::max<std::size_t>(1, server_count(options) / divisor);
    if (deadline.expired(report, kScenario, std::to_string(servers) + " servers")) {
      break;
    }
    const Micros timeout = std::min<Micros>(deadline.remaining(), kListTimeout);
    ListTrial(options, servers, recorder).measure(timeout);
  }
  recorder.fit({"bytes", "until_right", "agent_cpu", "gateway_cpu", "module_cpu", "gateway_memory"},
               "servers", double(Target{}.servers));
}

std::uint64_t memory(const Options& options) {
  const std::size_t gateways = gateway_count(options);
  return require_descriptors(fleet_memory(double(gateways), double(server_count(options))),
                             gateways, false);
}

}  // namespace

Scenario complete_list_scenario() {
  return {kScenario, "a complete list to each of a few gateways, by listed servers", memory, run};
}

}  // namespace quota_gateway::scale
