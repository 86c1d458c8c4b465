// Units of time that the modules of the policy share.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

constexpr double kSecond = 1e6;        // microseconds, for conversions in floating point
constexpr Micros kPeriod = 1'000'000;  // us between two periodic updates of a gateway's estimates

}  // namespace quota_gateway::policy
