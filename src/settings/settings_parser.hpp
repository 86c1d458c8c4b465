// The operators' settings in JSON, as the simulator sends them and as the gateway's configuration
// file holds them under `settings`. The only place that knows these names.
#pragma once

#include <nlohmann/json.hpp>

#include "quota_gateway/settings.hpp"

namespace quota_gateway {

// Missing fields keep the defaults of Settings, unknown ones are skipped; values are not checked.
// Throws JsonShapeError if `json` is no object, nlohmann::json::type_error on a field of
// another type.
Settings parse_settings(const nlohmann::json& json);

}  // namespace quota_gateway
