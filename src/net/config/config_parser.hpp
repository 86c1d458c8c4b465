// The gateway's configuration from the JSON tree of its file (see config_loader.hpp), checked.
#pragma once

#include <nlohmann/json.hpp>

#include "net/config/gateway_config.hpp"

namespace quota_gateway::net {

// Reads all but `known`, the list of endpoints, and what the environment may set. Throws
// ConfigError on a value that no gateway can run with, and another std::exception on a value of the
// wrong kind.
GatewayConfig parse_config(const nlohmann::json& tree);

}  // namespace quota_gateway::net
