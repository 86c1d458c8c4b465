// The sizes at which slopes are measured, and the memory that a size is estimated to take. Called
// by the slopes of the decision module and of gateway processes; keeps no state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// The operators' target for one gateway, rounded.
constexpr double kRequestsPerGatewayPerS = 257;
constexpr std::size_t kTenantsPerGateway = 176;
// Zones over which listed servers are spread, in turn.
constexpr std::size_t kZones = Target{}.zones;
// Servers of a zone that change at once.
constexpr std::size_t kSliceEntries = 500;

// Up to four sizes that end at `largest`: a thousandth, a hundredth, a tenth and all of it. Sizes
// that round to the same number are given once.
std::vector<std::size_t> sizes_up_to(std::size_t largest);

// Listed servers, in ascending order: by --servers, or else up to the operators' target.
std::vector<std::size_t> server_counts(const Options& options);
// Classes of the settings, in ascending order, up to 100,000.
std::vector<std::size_t> class_counts(const Options& options);

// A whole number of bytes; an estimate beyond all machines is cut to 1e18, which still fits.
std::uint64_t to_bytes(double estimate);

}  // namespace quota_gateway::scale
