// Protocol session with the simulator, which sends batches of messages to many gateway instances in
// one process.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"
#include "simulator/wire_codec.hpp"

namespace quota_gateway::simulator {

// Owns the gateway instances and the endpoint lists that messages refer to. Not thread-safe.
class SimulatorSession {
 public:
  // Processes one line of input. Returns the reply, or nullopt if the line is an endpoint list,
  // which has no reply. Throws JsonShapeError or nlohmann::json::exception on a malformed line; the
  // session must not be used after that.
  std::optional<std::string> process_line(const std::string& line);

 private:
  void store_endpoint_list(const nlohmann::json& message);
  // Handles the messages to one gateway instance in order. Returns the actions of the gateway. A
  // message that stops or starts the instance discards the events before it.
  std::vector<Action> process_instance_messages(Micros now, const std::string& name,
                                                const nlohmann::json& messages);

  std::map<std::string, Gateway> gateways_;
  EndpointLists endpoint_lists_;
};

}  // namespace quota_gateway::simulator
