// The process.settings scenario: start, memory and SIGHUP of a gateway process by the number of
// classes in its settings.
#include "measurement_recorder.hpp"
#include "process/gateway_environment.hpp"
#include "process/gateway_measurements.hpp"
#include "process/gateway_process.hpp"
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 180;
constexpr std::size_t kListedServers = 200;

void measure_point(const Options& options, const MeasurementRecorder& recorder,
                   std::size_t classes) {
  const MeasuredSizes sizes = {{"classes", double(classes)}};
  const GatewayEnvironment environment(kListedServers);
  GatewayConfigOptions config =
      environment.gateway_config(GatewayEnvironment::StartingList::kKnown);
  config.class_count = classes;
  GatewayProcess gateway(options.gateway_program, config);
  record_start(recorder, sizes, gateway);
  record_reload(recorder, sizes, gateway, config);
}

}  // namespace

void measure_class_counts(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "process.settings");
  for (const std::size_t classes : class_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_point(options, recorder, classes);
    }
  }
  recorder.fit(
      {"start", "start_resident", "start_peak", "sighup", "sighup_resident", "sighup_peak"},
      "classes", double(Target{}.routes));
}

}  // namespace quota_gateway::scale
