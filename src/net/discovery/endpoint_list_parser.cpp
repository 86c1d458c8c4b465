#include "net/discovery/endpoint_list_parser.hpp"

#include <utility>

#include "net/discovery/endpoint_entry_parser.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEntryBytes = 64 << 10;

}  // namespace

EndpointListParser::EndpointListParser(std::vector<std::string> path,
                                       EndpointListParserLimits limits, Retain retain)
    : limits_(limits), retain_(retain), path_length_(path.size()), scanner_(std::move(path)) {}

std::size_t EndpointListParser::parse_chunk(std::string_view chunk) {
  std::size_t used = 0;
  bytes_consumed_ += chunk.size();
  while (used < chunk.size() && !done_) {
    const char next = chunk[used];
    if (is_in_entry(next)) {
      used += consume_entry(chunk.substr(used));
      continue;
    }
    ++used;
    if (in_array_) {
      consume_separator(next);
    } else {
      consume_surrounding(next);
    }
  }
  bytes_consumed_ -= chunk.size() - used;
  if (!done_ && bytes_consumed_ > limits_.text_bytes) {
    throw EndpointListTooLarge("the text of the list exceeds its size limit");
  }
  return used;
}

void EndpointListParser::consume_surrounding(char byte) {
  if (!scanner_.in_string() && is_json_whitespace(byte)) {
    // Stores each run of white space as one space, so that white space cannot fill the memory.
    if (!surrounding_.empty() && surrounding_.back() != ' ') {
      surrounding_ += ' ';
    }
  } else {
    if (surrounding_.empty() && byte != '{') {
      throw EndpointListError("the text is not a JSON object");
    }
    surrounding_ += byte;
    const JsonPathScanner::Event event = scanner_.consume(byte);
    in_array_ = event == JsonPathScanner::Event::kArrayOpened;
    done_ = event == JsonPathScanner::Event::kObjectClosed;
  }
  if (surrounding_.size() > limits_.surrounding_bytes) {
    throw EndpointListTooLarge("the text outside the array of endpoints exceeds its size limit");
  }
}

// Consumes a byte of the array that is outside its entries.
void EndpointListParser::consume_separator(char byte) {
  if (is_json_whitespace(byte)) {
    return;
  }
  if (byte == ']' && expected_ != Expected::kEntry) {
    in_array_ = false;
    consume_surrounding(byte);
    return;
  }
  if (byte != ',' || expected_ != Expected::kCommaOrEnd) {
    throw EndpointListError("unexpected character in the array of endpoints");
  }
  expected_ = Expected::kEntry;
}

bool EndpointListParser::is_in_entry(char next) const {
  const bool begins_entry = in_array_ && next == '{' && expected_ != Expected::kCommaOrEnd;
  return entry_depth_ > 0 || begins_entry;
}

// Consumes an entry that begins with this chunk or began in an earlier one. Returns how many bytes
// of the chunk belong to the entry.
std::size_t EndpointListParser::consume_entry(std::string_view chunk) {
  for (std::size_t i = 0; i < chunk.size(); ++i) {
    if (!closes_entry(chunk[i])) {
      continue;
    }
    const std::string_view end_of_entry = chunk.substr(0, i + 1);
    if (partial_entry_.empty()) {
      add_entry(end_of_entry);
    } else {
      partial_entry_ += end_of_entry;
      add_entry(partial_entry_);
      partial_entry_.clear();
    }
    return i + 1;
  }
  partial_entry_ += chunk;
  if (partial_entry_.size() > kMaxEntryBytes) {
    throw EndpointListTooLarge("an endpoint entry exceeds its size limit");
  }
  return chunk.size();
}

bool EndpointListParser::closes_entry(char byte) {
  const bool was_in_string = entry_strings_.in_string();
  entry_strings_.consume(byte);
  if (was_in_string) {
    return false;
  }
  if (byte == '{' || byte == '[') {
    ++entry_depth_;
  }
  if (byte == '}' || byte == ']') {
    --entry_depth_;
    return entry_depth_ == 0;
  }
  return false;
}

void EndpointListParser::add_entry(std::string_view text) {
  const ParsedEndpointEntry parsed = parse_endpoint_entry(text);
  expected_ = Expected::kCommaOrEnd;
  ++endpoint_count_;
  if (retain_ != Retain::kSamplesOnly) {
    endpoints_.push_back(parsed.endpoint);
    endpoints_memory_bytes_ += memory_bytes(endpoints_.back());
  }
  if (retain_ != Retain::kEndpoints && sampled_shapes_.insert(parsed.shape).second) {
    if (sampled_shapes_.size() > 1) {
      surrounding_ += ',';
    }
    surrounding_ += text;
  }
  if (endpoints_memory_bytes_ > limits_.memory_bytes) {
    throw EndpointListTooLarge("its endpoints take too much memory");
  }
}

std::optional<EndpointListParser::Header> EndpointListParser::header() const {
  if (!in_array_) {
    return std::nullopt;
  }
  const json fields = json::parse(surrounding_ + ']' + std::string(path_length_, '}'));
  Header header;
  if (fields.contains("revision")) {
    header.revision = fields["revision"].get<std::int64_t>();
  }
  if (fields.contains("complete")) {
    header.complete = fields["complete"].get<bool>();
  }
  return header;
}

EndpointList EndpointListParser::take_list(const json& enclosing) {
  EndpointList list;
  list.revision = enclosing.at("revision").get<std::int64_t>();
  list.complete = enclosing.value("complete", false);
  const json& array = enclosing.at("members");
  if (!array.is_array() && !array.is_null()) {
    throw EndpointListError("field 'members' is not an array");
  }
  list.endpoints = std::move(endpoints_);
  return list;
}

EndpointList parse_endpoint_list(const json& list) {
  EndpointListParser parser({"members"});
  parser.parse_chunk(list.dump());
  return parser.take_list(parser.surrounding_json());
}

}  // namespace quota_gateway::net
