#include "settings/json_fields.hpp"

namespace quota_gateway {

const nlohmann::json& section_or_empty(const nlohmann::json& object, const char* key) {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const auto section = object.find(key);
  return section == object.end() || section->is_null() ? kEmpty : *section;
}

}  // namespace quota_gateway
