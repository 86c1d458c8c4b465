// Compares a changed configuration file with the one in force before SIGHUP applies it.
#pragma once

#include <nlohmann/json.hpp>

namespace quota_gateway::net {

// Throws ConfigError if a key of `previous` is missing in `current` or has a value of another type.
// Most keys have a default value, which is right for a gateway that never had the key. If a key
// disappears from a changed file, the default is probably not what the author of the file intended.
void check_keys_kept(const nlohmann::json& previous, const nlohmann::json& current);

}  // namespace quota_gateway::net
