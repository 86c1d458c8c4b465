// The sources of a gateway process's configuration: the file named by RELAY_CONFIG and further
// environment variables. All functions report errors as a std::exception with a message of one
// line.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>

#include "net/config/config_loader.hpp"
#include "net/config/gateway_config.hpp"

namespace quota_gateway::net {

// Opens the file named by RELAY_CONFIG.
std::ifstream open_config_file();
// Reads the complete file, including its endpoint list.
ConfigFile read_config_file();
// Combines the `tree` of the file with the environment; the result has no endpoint list. RELAY_MGMT
// sets the admin address if the file names none, TMPDIR the directory for hot restarts.
GatewayConfig make_config(const nlohmann::json& tree);

}  // namespace quota_gateway::net
