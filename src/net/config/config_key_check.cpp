#include "net/config/config_key_check.hpp"

#include <string>

#include "net/config/config_error.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

// `path`: the keys that lead to both values, each with a point behind it.
void check_value(const json& previous, const json& current, const std::string& path);

void check_object(const json& previous, const json& current, const std::string& path) {
  for (const auto& [key, value] : previous.items()) {
    if (value.is_null()) {
      continue;
    }
    if (!current.is_object() || !current.contains(key) || current[key].is_null()) {
      throw ConfigError(path + key, "missing, but in the configuration in force");
    }
    check_value(value, current[key], path + key + ".");
  }
}

// Of the first of `objects`, the keys that all others have too.
json common_keys(const json& objects) {
  json common = objects[0];
  for (const json& other : objects) {
    for (const auto& [key, value] : objects[0].items()) {
      if (!other.contains(key)) {
        common.erase(key);
      }
    }
  }
  return common;
}

bool is_same_kind(const json& one, const json& other) {
  return one.is_array() == other.is_array() && one.is_number() == other.is_number() &&
         one.is_string() == other.is_string() && one.is_boolean() == other.is_boolean();
}

// Of lists of objects, such as the classes, each current entry needs the keys that all previous
// ones have.
void check_value(const json& previous, const json& current, const std::string& path) {
  if (previous.is_object()) {
    return check_object(previous, current, path);
  }
  const bool is_list_of_objects =
      previous.is_array() && !previous.empty() && previous[0].is_object() && current.is_array();
  if (is_list_of_objects) {
    const json common = common_keys(previous);
    for (const json& entry : current) {
      check_value(common, entry, path);
    }
    return;
  }
  if (!is_same_kind(previous, current)) {
    throw ConfigError(path, "not of the same kind as in the configuration in force");
  }
}

}  // namespace

void check_keys_kept(const json& previous, const json& current) {
  check_value(previous, current, "");
}

}  // namespace quota_gateway::net
