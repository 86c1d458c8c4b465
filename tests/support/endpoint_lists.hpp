// Lists of many endpoints, and settings for a gateway that uses them. Used by the tests under
// tests/policy/endpoints/.
#pragma once

#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::testing {

// Returns the settings of one of `gateway_count` gateways. There are two request classes: "read",
// which is idempotent, and "once", which is streamed and not idempotent. The plan "plan" has no
// quota. Endpoints warm up in 60 s from a fifth of their capacity.
Settings fleet_settings(int gateway_count, int gateway_index = 17);

// Returns the endpoint with this number. Endpoints are distributed over seven zones and fifty
// cells.
EndpointEntry fleet_endpoint(int number, EndpointState state = EndpointState::kUp);

// Returns the endpoints with the numbers from `first` to `last` - 1.
std::vector<EndpointEntry> fleet_endpoints(int first, int last,
                                           EndpointState state = EndpointState::kUp);

// Returns a complete list, which removes all endpoints that it does not contain.
EndpointListUpdate complete_list(std::vector<EndpointEntry> endpoints);

}  // namespace quota_gateway::testing
