// Codec of the simulator's wire format: converts JSON messages to events of the decision module,
// and its actions to JSON messages. Stateless; used by SimulatorSession.
//
// All functions throw JsonShapeError or nlohmann::json::exception on a malformed message.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"

namespace quota_gateway::simulator {

// Endpoint lists by number. A DirectoryUpdate message refers to a list by its number.
using EndpointLists = std::unordered_map<std::int64_t, std::vector<EndpointEntry>>;

// Parses the `Entries` of a message that defines an endpoint list.
std::vector<EndpointEntry> parse_endpoint_entries(const nlohmann::json& entries);

// Returns nullopt if the decision module has no event for this type of message.
std::optional<Event> parse_event(const nlohmann::json& message, const EndpointLists& lists);

// Returns the message that requests this action from the simulator.
nlohmann::json write_action(const Action& action);

}  // namespace quota_gateway::simulator
