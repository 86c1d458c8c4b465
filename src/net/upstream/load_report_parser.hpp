// Parses what servers state about themselves in response headers: load reports and single figures.
// Pure functions without state; response_classifier calls them.
#pragma once

#include <optional>
#include <string_view>

#include "quota_gateway/events.hpp"

namespace quota_gateway::net {

// The number that `text` consists of, in full. Empty if it is no number or outside [0, max].
std::optional<double> parse_figure(std::string_view text, double max);

// Parses a load report such as "TEXT inflight=7, queue=2, util=0.61". Unknown names are ignored.
// If any known name has no plausible number, the complete report is discarded and the result is
// empty: after one absurd figure the others can't be trusted to steer requests.
LoadReport parse_load_report(std::string_view text);

}  // namespace quota_gateway::net
