// The configuration file that a measured gateway process is started with. Keeps no state.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

struct GatewayConfigOptions {
  std::string discovery_address;               // host:port
  std::optional<std::string> counter_address;  // host:port; none: it shares no counter
  std::optional<std::string> known_list;       // the JSON of the list that it starts with
  std::size_t gateway_count = 1;
  std::size_t class_count = 1;
  // us; of the last class, so that a reload has one that changed.
  Micros last_class_objective = 3'000'000;
};

// The text of the file. `listen_address` is host:port.
std::string render_gateway_config(const GatewayConfigOptions& options,
                                  const std::string& listen_address);

}  // namespace quota_gateway::scale
