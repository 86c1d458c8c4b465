// Renders the configuration file of a measured gateway process. Stateless.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

struct GatewayConfigOptions {
  std::string discovery_address;               // host:port
  std::optional<std::string> counter_address;  // host:port; nullopt: no shared counter
  std::optional<std::string> known_list;       // JSON of the list that the gateway starts with
  std::size_t gateway_count = 1;
  std::size_t class_count = 1;
  // Latency objective of the last class, in us. Changing it gives a reload one changed class.
  Micros last_class_objective = 3'000'000;
};

// Returns the text of the file. `listen_address` is host:port.
std::string render_gateway_config(const GatewayConfigOptions& options,
                                  const std::string& listen_address);

}  // namespace quota_gateway::scale
