// Generates the inputs of the decision module's scenarios: endpoint lists and settings of any size.
// Stateless.
#pragma once

#include <cstddef>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Names of the only plan of the settings, and of the request class if the settings have only one.
constexpr const char* kPlanName = "plan";
constexpr const char* kClassName = "read";

// Returns `prefix` followed by the number.
std::string numbered_name(const std::string& prefix, std::size_t number);

// Returns the list entry of the server with this index: up, with a start time far in the past.
EndpointEntry listed_endpoint(std::size_t index);
// Returns a complete list of the servers from index 0.
EndpointListUpdate complete_list(std::size_t servers);
// Returns a partial update that consists of this entry.
EndpointListUpdate single_change(EndpointEntry entry);

// Returns the settings of one of `gateways` gateways in the zone of server 0, with a shared counter
// and `classes` request classes.
Settings module_settings(std::size_t gateways, std::size_t classes = 1);

}  // namespace quota_gateway::scale
