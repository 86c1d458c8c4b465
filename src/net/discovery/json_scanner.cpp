#include "net/discovery/json_scanner.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/discovery/endpoint_list.hpp"

namespace quota_gateway::net {
namespace {

// Strings are truncated to this length. The keys of the path are shorter.
constexpr std::size_t kMaxKeyBytes = 256;

// Resolves JSON escapes, so that keys with escapes match the path too.
std::string unescape_key(const std::string& text) {
  if (text.size() >= kMaxKeyBytes || text.find('\\') == std::string::npos) {
    return text;
  }
  return nlohmann::json::parse('"' + text + '"').get<std::string>();
}

}  // namespace

JsonPathScanner::JsonPathScanner(std::vector<std::string> path)
    : path_(std::move(path)), keys_(path_.size() + 1) {}

JsonPathScanner::Event JsonPathScanner::consume(char byte) {
  const bool was_in_string = strings_.in_string();
  strings_.consume(byte);
  if (was_in_string) {
    if (strings_.in_string() && last_string_.size() < kMaxKeyBytes) {
      last_string_ += byte;
    }
    return Event::kNone;
  }
  switch (byte) {
    case '"':
      last_string_.clear();
      return Event::kNone;
    case ':':
      if (depth_ < keys_.size()) {
        keys_[depth_] = unescape_key(last_string_);
      }
      return Event::kNone;
    case '{':
    case '[':
      return open(byte);
    case '}':
    case ']':
      return --depth_ == 0 ? Event::kObjectClosed : Event::kNone;
    default:
      return Event::kNone;
  }
}

JsonPathScanner::Event JsonPathScanner::open(char bracket) {
  ++depth_;
  if (depth_ < keys_.size()) {
    keys_[depth_].clear();
  }
  if (bracket != '[' || !is_at_path()) {
    return Event::kNone;
  }
  if (std::exchange(array_found_, true)) {
    throw EndpointListError("the object contains more than one array of endpoints");
  }
  return Event::kArrayOpened;
}

bool JsonPathScanner::is_at_path() const {
  return depth_ == path_.size() + 1 && std::equal(path_.begin(), path_.end(), keys_.begin() + 1);
}

}  // namespace quota_gateway::net
