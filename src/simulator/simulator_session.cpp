#include "simulator/simulator_session.hpp"

#include <cstdint>
#include <utility>
#include <vector>

#include "settings/json_fields.hpp"
#include "settings/settings_parser.hpp"

namespace quota_gateway::simulator {
namespace {

using Json = nlohmann::json;

const Json& require_array(const Json& value, const char* name) {
  if (!value.is_array()) {
    throw JsonShapeError(std::string(name) + " is not an array");
  }
  return value;
}

Json write_actions(const std::vector<Action>& actions) {
  Json steps = Json::array();
  for (const Action& action : actions) {
    steps.push_back(write_action(action));
  }
  return steps;
}

}  // namespace

std::optional<std::string> SimulatorSession::process_line(const std::string& line) {
  const Json batch = Json::parse(line);
  if (!batch.is_object()) {
    throw JsonShapeError("the input line is not a JSON object");
  }
  if (field_or<std::string>(batch, "what", "") == "Pool") {
    store_endpoint_list(batch);
    return std::nullopt;
  }
  const auto now = required_field<Micros>(batch, "ClockUs");
  Json reply = {{"parts", Json::array()}};
  for (const Json& part : require_array(batch.at("parts"), "parts")) {
    const auto name = required_field<std::string>(part, "Who");
    const auto actions =
        process_instance_messages(now, name, require_array(part.at("input"), "input"));
    if (!actions.empty()) {
      reply["parts"].push_back({{"Who", name}, {"steps", write_actions(actions)}});
    }
  }
  return reply.dump();
}

void SimulatorSession::store_endpoint_list(const Json& message) {
  endpoint_lists_[required_field<std::int64_t>(message, "List")] =
      parse_endpoint_entries(message.at("Entries"));
}

std::vector<Action> SimulatorSession::process_instance_messages(Micros now, const std::string& name,
                                                                const Json& messages) {
  std::vector<Event> events;
  for (const Json& message : messages) {
    if (!message.is_object()) {
      throw JsonShapeError("an element of 'input' is not a JSON object");
    }
    const auto message_type = required_field<std::string>(message, "what");
    if (message_type == "Pool") {
      store_endpoint_list(message);
    } else if (message_type == "Kill") {
      events.clear();
      gateways_.erase(name);
    } else if (message_type == "Enlist") {
      events.clear();
      Settings settings = parse_settings(message.at("Info"));
      const auto seed = required_field<std::uint64_t>(message, "Entropy");
      gateways_.insert_or_assign(name, Gateway(std::move(settings), seed));
    } else if (auto event = parse_event(message, endpoint_lists_)) {
      events.push_back(std::move(*event));
    }
  }
  std::vector<Action> actions;
  const auto gateway = gateways_.find(name);
  if (gateway != gateways_.end() && !events.empty()) {
    gateway->second.handle(now, events, actions);
  }
  return actions;
}

}  // namespace quota_gateway::simulator
