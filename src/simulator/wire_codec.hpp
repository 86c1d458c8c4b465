// The simulator's wire format: JSON messages to the module's events, and its actions to JSON
// messages. No state and no decisions; SimulatorSession is the caller.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"

namespace quota_gateway::simulator {

// Endpoint lists by their number; a DirectoryUpdate names one of them.
using EndpointLists = std::unordered_map<std::int64_t, std::vector<EndpointEntry>>;

// All of these throw JsonShapeError or nlohmann::json::exception on a message of the wrong shape.

std::vector<EndpointEntry> parse_endpoint_entries(const nlohmann::json& entries);

// Returns nothing for a message that means nothing to the module.
std::optional<Event> parse_event(const nlohmann::json& message, const EndpointLists& lists);

nlohmann::json write_action(const Action& action);

}  // namespace quota_gateway::simulator
