// Adds the scenarios of real gateway processes to the program's list.
#include "process/process_slopes.hpp"

#include <string>

#include "report.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {
namespace {

using RunFunction = void (*)(const Options&, Report&);

// Runs the scenario only if there is a gateway program. Otherwise the report notes that the
// scenario was not run, which is not a failure.
std::function<void(const Options&, Report&)> if_gateway_program(const std::string& scenario,
                                                                RunFunction run) {
  return [scenario, run](const Options& options, Report& report) {
    if (options.gateway_program.empty()) {
      report.note(scenario, "not run: no gateway program");
      return;
    }
    run(options, report);
  };
}

Scenario process_scenario(const std::string& name, const std::string& description,
                          std::uint64_t (*memory)(const Options&), RunFunction run) {
  return {name, description, memory, if_gateway_program(name, run)};
}

}  // namespace

void add_process_slopes(std::vector<Scenario>& scenarios) {
  scenarios.push_back(process_scenario(
      "process.known", "a gateway that starts with a list: time, memory, changes, SIGHUP",
      process_server_memory, measure_known_lists));
  scenarios.push_back(process_scenario(
      "process.pushed", "a gateway that receives a complete list: time, memory, bytes",
      process_server_memory, measure_pushed_lists));
  scenarios.push_back(process_scenario(
      "process.request",
      "latency that a gateway adds to requests, by listed servers and while a zone changes",
      process_server_memory, measure_request_delays));
  scenarios.push_back(process_scenario("process.endless",
                                       "a list that never ends: bytes received over time",
                                       process_base_memory, measure_endless_list));
  scenarios.push_back(process_scenario("process.settings", "SIGHUP, by number of classes",
                                       process_class_memory, measure_class_counts));
}

}  // namespace quota_gateway::scale
