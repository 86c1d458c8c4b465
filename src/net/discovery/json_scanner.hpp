// Follows JSON text byte by byte without building a tree. Used by EndpointListParser, which finds
// the array of endpoints by it.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quota_gateway::net {

constexpr bool is_json_space(char byte) {
  return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

// Whether a byte of JSON text lies within a string.
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

// Follows one JSON object and finds the array at a path of keys in it. Brackets are counted but not
// matched: whoever needs well-formed text parses it afterwards.
class JsonPathScanner {
 public:
  enum class Event {
    kNone,
    kArrayOpened,   // the array at the path begins behind this byte
    kObjectClosed,  // the object ends with this byte
  };

  // `path`: the keys from the object down to the array.
  explicit JsonPathScanner(std::vector<std::string> path);

  bool in_string() const { return strings_.in_string(); }
  // The next byte, which must not be white space outside a string. The array's content may be left
  // out. Throws EndpointListError if there is a second array at the path.
  Event consume(char byte);

 private:
  Event open(char bracket);
  bool is_at_path() const;

  const std::vector<std::string> path_;
  // The last key at each depth, as far down as the path goes. The object's own keys are at depth 1.
  std::vector<std::string> keys_;
  std::string last_string_;
  JsonStringTracker strings_;
  std::size_t depth_ = 0;
  bool found_ = false;
};

}  // namespace quota_gateway::net
