// Parser of the operators' JSON settings. The simulator sends them in the field `Info`; the
// gateway's configuration file has them in the field `settings`. Only this parser maps the JSON
// names to the fields of Settings.
#pragma once

#include <nlohmann/json.hpp>

#include "quota_gateway/settings.hpp"

namespace quota_gateway {

// A member of Settings keeps its default if the JSON field is missing or null, or if its value is
// an unknown enum name. The only exception is PlanSettings::over_quota_cost, which is then 0.
// Unknown fields are ignored, and values are not validated. Throws JsonShapeError if `json` is not
// an object, and nlohmann::json::type_error if a field has the wrong type.
Settings parse_settings(const nlohmann::json& json);

}  // namespace quota_gateway
