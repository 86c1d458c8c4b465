// What the decision module's slopes feed it: lists of servers and settings of any size. Keeps no
// state.
#pragma once

#include <cstddef>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// The one plan and, where there is one only, the one class of the settings.
constexpr const char* kPlanName = "plan";
constexpr const char* kClassName = "read";

// As `prefix` and the number.
std::string numbered_name(const std::string& prefix, std::size_t number);

// The server with this index, up since long ago.
EndpointEntry listed_endpoint(std::size_t index);
EndpointListUpdate complete_list(std::size_t servers);
EndpointListUpdate single_change(EndpointEntry entry);

// Of one of so many gateways, in the zone of server 0, with a counter.
Settings module_settings(std::size_t gateways, std::size_t classes = 1);

}  // namespace quota_gateway::scale
