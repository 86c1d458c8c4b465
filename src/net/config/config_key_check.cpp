#include "net/config/config_key_check.hpp"

#include <string>

#include "net/config/config_error.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

// `path`: the keys that lead to both values, each followed by a dot.
void check_value(const json& previous, const json& current, const std::string& path);

void check_object(const json& previous, const json& current, const std::string& path) {
  for (const auto& [key, value] : previous.items()) {
    if (value.is_null()) {
      continue;
    }
    if (!current.is_object() || !current.contains(key) || current[key].is_null()) {
      throw ConfigError(path + key, "missing, although the configuration in force has it");
    }
    check_value(value, current[key], path + key + ".");
  }
}

// Returns the entries of the first object whose keys occur in all objects.
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

bool has_same_type(const json& one, const json& other) {
  return one.is_array() == other.is_array() && one.is_number() == other.is_number() &&
         one.is_string() == other.is_string() && one.is_boolean() == other.is_boolean();
}

// In an array of objects, such as the request classes, each object in `current` must have the keys
// that all objects in `previous` have.
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
  if (!has_same_type(previous, current)) {
    throw ConfigError(path, "the type differs from that in the configuration in force");
  }
}

}  // namespace

void check_keys_kept(const json& previous, const json& current) {
  check_value(previous, current, "");
}

}  // namespace quota_gateway::net
