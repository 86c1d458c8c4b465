// Where a gateway process finds its configuration: the file that RELAY_CONFIG names, and what the
// environment adds to it. All of this throws std::exception with a message of one line.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>

#include "net/config/config_loader.hpp"
#include "net/config/gateway_config.hpp"

namespace quota_gateway::net {

std::ifstream open_config_file();
// Reads all of the file, with its endpoint list.
ConfigFile read_config_file();
// What the tree of the file and the environment say together; without the endpoint list. RELAY_MGMT
// is the admin address where the file names none, TMPDIR the directory for hot restarts.
GatewayConfig make_config(const nlohmann::json& tree);

}  // namespace quota_gateway::net
