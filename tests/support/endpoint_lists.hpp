// Lists of many endpoints, and settings of a gateway in front of them. Used by the tests under
// tests/policy/endpoints/.
#pragma once

#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::testing {

// One of `gateway_count` gateways. Two classes: "read", which is idempotent, and "once", which is
// streamed and is not; a plan "plan" without a quota. Endpoints warm up in 60 s from a fifth of
// their capacity.
Settings fleet_settings(int gateway_count, int gateway_index = 17);

// Endpoint number `number`, in one of seven zones and fifty cells.
EndpointEntry fleet_endpoint(int number, EndpointState state = EndpointState::kUp);

// Those from number `first` to before `last`.
std::vector<EndpointEntry> fleet_endpoints(int first, int last,
                                           EndpointState state = EndpointState::kUp);

// A whole list; endpoints that it does not name are removed.
EndpointListUpdate complete_list(std::vector<EndpointEntry> endpoints);

}  // namespace quota_gateway::testing
