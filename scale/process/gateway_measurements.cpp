#include "process/gateway_measurements.hpp"

#include <utility>

#include "process/polling.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kReloadTimeoutS = 60;
constexpr Micros kObjectiveChange = 1'000;  // us

}  // namespace

void record_start(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                  const GatewayProcess& gateway) {
  gateway.wait_until_ready(kReadyTimeoutS);
  recorder.add("ready", sizes, steady_ms() - gateway.started_at_ms(), "ms");
  gateway.wait_until_idle(kIdleTimeoutS);
  recorder.add("start", sizes, gateway.cpu_ms(), "ms cpu");
  recorder.add("start_resident", sizes, gateway.resident_mb(), "MB");
  recorder.add("start_peak", sizes, gateway.peak_resident_mb(), "MB");
}

void record_reload(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                   GatewayProcess& gateway, GatewayConfigOptions config) {
  gateway.reset_peak_resident();
  const double cpu_before = gateway.cpu_ms();
  config.last_class_objective += kObjectiveChange;
  gateway.reload(config, kReloadTimeoutS);
  gateway.wait_until_idle(kIdleTimeoutS);
  recorder.add("sighup", sizes, gateway.cpu_ms() - cpu_before, "ms cpu");
  recorder.add("sighup_resident", sizes, gateway.resident_mb(), "MB");
  recorder.add("sighup_peak", sizes, gateway.peak_resident_mb(), "MB");
}

double measure_idle_cpu(const GatewayProcess& gateway, double duration_s) {
  const double cpu_before = gateway.cpu_ms();
  const double started_at = steady_ms();
  sleep_ms(1e3 * duration_s);
  return (gateway.cpu_ms() - cpu_before) / (steady_ms() - started_at) * 1e3;
}

}  // namespace quota_gateway::scale
