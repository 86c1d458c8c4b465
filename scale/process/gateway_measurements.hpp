// Figures that several process slopes take of a gateway. Keeps no state.
#pragma once

#include "measurement_recorder.hpp"
#include "process/gateway_config.hpp"
#include "process/gateway_process.hpp"

namespace quota_gateway::scale {

// How long a measurement waits for a gateway that starts, in seconds.
constexpr double kReadyTimeoutS = 30;
// How long it waits until the gateway has done all that was begun, in seconds.
constexpr double kIdleTimeoutS = 10;

// Waits until the gateway is ready and idle, and adds what its start took. Throws
// GatewayProcessError.
void record_start(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                  const GatewayProcess& gateway);

// Has the gateway reload `config` with its last class changed, and adds what that took. Throws
// GatewayProcessError.
void record_reload(const MeasurementRecorder& recorder, const MeasuredSizes& sizes,
                   GatewayProcess& gateway, GatewayConfigOptions config);

// Processor time in ms that it spends in a second without anything to do, watched for
// `duration_s`.
double measure_idle_cpu(const GatewayProcess& gateway, double duration_s);

}  // namespace quota_gateway::scale
