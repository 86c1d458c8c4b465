// The sizes at which slopes are measured, and the conversion of memory estimates. Used by the
// slopes of the decision module and of gateway processes; keeps no state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// The operators' target for one gateway, rounded.
constexpr double kRequestsPerGatewayPerS = 257;
constexpr std::size_t kTenantsPerGateway = 176;
// Zones over which listed servers are distributed in turn.
constexpr std::size_t kZones = Target{}.zones;
// Servers of a zone that change at the same time.
constexpr std::size_t kSliceEntries = 500;

// Returns up to four sizes: a thousandth, a hundredth, a tenth and all of `largest`. Sizes that
// round to the same number are returned once.
std::vector<std::size_t> sizes_up_to(std::size_t largest);

// Returns numbers of listed servers in ascending order, up to --servers or else up to the
// operators' target; with --small, fewer.
std::vector<std::size_t> server_counts(const Options& options);
// Returns numbers of classes in the settings in ascending order, up to 100,000; with --small,
// fewer.
std::vector<std::size_t> class_counts(const Options& options);

// Converts an estimate to whole bytes. Larger estimates are reduced to 1e18, which exceeds any
// machine's memory and fits the type.
std::uint64_t to_bytes(double estimate);

}  // namespace quota_gateway::scale
