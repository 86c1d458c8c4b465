// Time constants shared by the policy modules.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

constexpr double kMicrosPerSecond = 1e6;  // a double, for conversions in floating point

// Interval at which a gateway runs its periodic updates, in microseconds.
constexpr Micros kUpdatePeriod = 1'000'000;

}  // namespace quota_gateway::policy
