// Measurements of a gateway process that several scenarios share. Stateless.
#pragma once

#include "measurement_recorder.hpp"
#include "process/gateway_config.hpp"
#include "process/gateway_process.hpp"

namespace quota_gateway::scale {

// Seconds that a measurement waits for a gateway to become ready.
constexpr double kReadyTimeoutS = 30;
// Seconds that a measurement waits for a gateway to finish its work and become idle.
constexpr double kIdleTimeoutS = 10;

// Waits until the gateway is ready and idle, and records the time, processor time and memory of its
// start. Throws GatewayProcessError.
void record_start(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                  const GatewayProcess& gateway);

// Has the gateway reload `config` with its last class changed, and records the processor time and
// memory of the reload. Throws GatewayProcessError.
void record_reload(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                   GatewayProcess& gateway, GatewayConfigOptions config);

// Returns the processor time of the idle gateway in ms per second, measured over `duration_s`
// seconds.
double measure_idle_cpu(const GatewayProcess& gateway, double duration_s);

}  // namespace quota_gateway::scale
