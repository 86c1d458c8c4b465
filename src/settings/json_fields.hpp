// Helpers to read fields of JSON objects that other programs write. A field may be missing or null;
// unknown fields are ignored.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace quota_gateway {

// Thrown when a JSON value does not have the documented structure.
class JsonShapeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the value of the field, or nullopt if the field is missing or null.
// Throws nlohmann::json::type_error if the value cannot be converted to T.
template <typename T>
std::optional<T> find_field(const nlohmann::json& object, const char* key) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) {
    return std::nullopt;
  }
  return field->get<T>();
}

// Returns the value of the field, or `fallback` if the field is missing or null.
// Throws nlohmann::json::type_error if the value cannot be converted to T.
template <typename T>
T field_or(const nlohmann::json& object, const char* key, T fallback) {
  auto value = find_field<T>(object, key);
  return value ? std::move(*value) : std::move(fallback);
}

// Returns the value of the field. Throws JsonShapeError if the field is missing or null, and
// nlohmann::json::type_error if the value cannot be converted to T.
template <typename T>
T required_field(const nlohmann::json& object, const char* key) {
  auto value = find_field<T>(object, key);
  if (!value) {
    throw JsonShapeError(std::string("required field is missing or null: ") + key);
  }
  return std::move(*value);
}

// Returns the object or array under `key`, or an empty object if the key is missing or null.
// Does not check the type of the value. The reference is valid as long as `object` is.
const nlohmann::json& section_or_empty(const nlohmann::json& object, const char* key);

// Returns the value that `values_by_name` lists for `text`, or `fallback` for an unlisted text.
template <typename T>
T enum_from_string(const std::string& text,
                   std::initializer_list<std::pair<const char*, T>> values_by_name, T fallback) {
  for (const auto& [name, value] : values_by_name) {
    if (text == name) {
      return value;
    }
  }
  return fallback;
}

}  // namespace quota_gateway
