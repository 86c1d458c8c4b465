// Scans JSON text byte by byte without building a tree. EndpointListParser uses it to find the
// array of endpoints.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quota_gateway::net {

constexpr bool is_json_whitespace(char byte) {
  return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

// Tracks whether the current position in JSON text is inside a string.
class JsonStringTracker {
 public:
  bool in_string() const { return in_string_; }

  void consume(char byte) {
    if (!in_string_) {
      in_string_ = byte == '"';
    } else if (escaped_) {
      escaped_ = false;
    } else {
      escaped_ = byte == '\\';
      in_string_ = byte != '"';
    }
  }

 private:
  bool in_string_ = false;
  bool escaped_ = false;
};

// Scans one JSON object and finds the array at a path of keys in it. Counts brackets without
// checking that their types match, so the caller must still parse the text to validate it.
class JsonPathScanner {
 public:
  enum class Event {
    kNone,
    kArrayOpened,   // this byte opens the array at the path
    kObjectClosed,  // this byte closes the object
  };

  // `path`: the keys that lead from the object to the array.
  explicit JsonPathScanner(std::vector<std::string> path);

  bool in_string() const { return strings_.in_string(); }
  // Consumes the next byte. The caller must skip white space outside strings and may skip the
  // content of the array. Throws EndpointListError if there is a second array at the path.
  Event consume(char byte);

 private:
  Event open(char bracket);
  bool is_at_path() const;

  const std::vector<std::string> path_;
  // The last key at each depth up to the length of the path. The object's own keys are at depth 1.
  std::vector<std::string> keys_;
  std::string last_string_;
  JsonStringTracker strings_;
  std::size_t depth_ = 0;
  bool array_found_ = false;
};

}  // namespace quota_gateway::net
