// One conversation with the simulator: batches of messages for many gateway instances, in one
// process. Owns the instances and the endpoint lists that messages refer to.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"
#include "simulator/wire_codec.hpp"

namespace quota_gateway::simulator {

class SimulatorSession {
 public:
  // Processes one line of input and returns the line to reply with, or nothing if the line asks for
  // none. Throws JsonShapeError or nlohmann::json::exception on a line of the wrong shape; the
  // session is of no further use then.
  std::optional<std::string> process_line(const std::string& line);

 private:
  void store_endpoint_list(const nlohmann::json& message);
  // Messages to one instance, in order; returns its actions.
  std::vector<Action> process_instance(Micros now, const std::string& name,
                                       const nlohmann::json& messages);

  std::map<std::string, Gateway> gateways_;
  EndpointLists lists_;
};

}  // namespace quota_gateway::simulator
