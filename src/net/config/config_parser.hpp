// Parses and validates the gateway's configuration from the JSON tree of its file (see
// config_loader.hpp).
#pragma once

#include <nlohmann/json.hpp>

#include "net/config/gateway_config.hpp"

namespace quota_gateway::net {

// Reads all values except for the endpoint list in section `known` and the values set by
// environment variables. Throws ConfigError on an invalid value and another std::exception on a
// value of the wrong type.
GatewayConfig parse_config(const nlohmann::json& tree);

}  // namespace quota_gateway::net
