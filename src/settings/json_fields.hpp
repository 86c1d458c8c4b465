// Reading fields of JSON objects whose shape other programs decide: a field may be missing or null,
// and fields that nobody knows are skipped.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace quota_gateway {

// A JSON value that doesn't have the shape that its page gives it.
class JsonShapeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the field's value, or nothing if it is missing or null.
// Throws nlohmann::json::type_error if it is of another type.
template <typename T>
std::optional<T> find_field(const nlohmann::json& object, const char* key) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) {
    return std::nullopt;
  }
  return field->get<T>();
}

template <typename T>
T field_or(const nlohmann::json& object, const char* key, T fallback) {
  auto value = find_field<T>(object, key);
  return value ? std::move(*value) : std::move(fallback);
}

// Throws JsonShapeError if the field is missing or null.
template <typename T>
T required_field(const nlohmann::json& object, const char* key) {
  auto value = find_field<T>(object, key);
  if (!value) {
    throw JsonShapeError(std::string("missing field ") + key);
  }
  return std::move(*value);
}

// Returns the object or array under `key`, or an empty object if it is missing or null.
// The reference is good as long as `object` is.
const nlohmann::json& section_or_empty(const nlohmann::json& object, const char* key);

// Translates a word of the wire to its value; `fallback` for one that is not listed.
template <typename T>
T value_of_word(const std::string& word,
                std::initializer_list<std::pair<const char*, T>> known_words, T fallback) {
  for (const auto& [known, value] : known_words) {
    if (word == known) {
      return value;
    }
  }
  return fallback;
}

}  // namespace quota_gateway
