// Parses the load reports and numbers that servers send in response headers. Pure functions without
// state; response_classifier calls them.
#pragma once

#include <optional>
#include <string_view>

#include "quota_gateway/events.hpp"

namespace quota_gateway::net {

// Parses `text` as a number. Returns nullopt if `text` contains anything but the number, or if the
// number is outside [0, max].
std::optional<double> parse_bounded_number(std::string_view text, double max);

// Parses a load report such as "TEXT inflight=7, queue=2, util=0.61". Unknown names are ignored.
// If the value of any known name is not a plausible number, the complete report is discarded and
// the result is empty, because the other values are then not reliable enough for load balancing.
LoadReport parse_load_report(std::string_view text);

}  // namespace quota_gateway::net
