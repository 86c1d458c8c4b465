// Compares a changed configuration file with the one in force, before it is applied at SIGHUP.
#pragma once

#include <nlohmann/json.hpp>

namespace quota_gateway::net {

// Throws ConfigError if a key that `previous` has is missing in `current` or has a value of another
// kind. Most keys have a default, which is right for a gateway that never had them, but not what
// the writer of a changed file meant.
void check_keys_kept(const nlohmann::json& previous, const nlohmann::json& current);

}  // namespace quota_gateway::net
