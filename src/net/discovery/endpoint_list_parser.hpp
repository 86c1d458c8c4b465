// Parses an endpoint list from JSON that arrives in chunks. Used by DiscoveryClient for the lists
// of a watch and by ConfigLoader for the list in a configuration file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "net/discovery/endpoint_list.hpp"
#include "net/discovery/json_scanner.hpp"

namespace quota_gateway::net {

// Size limits of a list. The parser throws EndpointListTooLarge if the list exceeds one of them.
struct EndpointListParserLimits {
  // Estimated memory of all endpoints.
  std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();
  // Length of the complete text.
  std::size_t text_bytes = std::numeric_limits<std::size_t>::max();
  // Length of the text outside the array of endpoints, where each run of white space counts as one
  // byte.
  std::size_t surrounding_bytes = std::numeric_limits<std::size_t>::max();
};

// Consumes one JSON object. Each entry of the array of endpoints is parsed as soon as its closing
// bracket has arrived; the text around the array is kept and parsed at the end. After an exception,
// only bytes_consumed(), endpoint_count() and header() may be called.
class EndpointListParser {
 public:
  // What to keep of the entries. Samples are the texts of one entry of each shape (see
  // ParsedEndpointEntry); they are included in surrounding_json().
  enum class Retain { kEndpoints, kEndpointsAndSamples, kSamplesOnly };

  // `path`: the keys from the object down to the array of endpoints.
  explicit EndpointListParser(std::vector<std::string> path, EndpointListParserLimits limits = {},
                              Retain retain = Retain::kEndpoints);

  // Parses the chunk up to the end of the object and returns the number of bytes parsed. Throws
  // EndpointListError, or another std::exception on malformed text.
  std::size_t parse_chunk(std::string_view chunk);
  // Whether the object has ended.
  bool is_done() const { return done_; }
  // Total bytes parsed so far.
  std::size_t bytes_consumed() const { return bytes_consumed_; }
  std::size_t endpoint_count() const { return endpoint_count_; }

  // The fields that precede the array of endpoints. A field that is absent there has no value.
  struct Header {
    std::optional<std::int64_t> revision;
    std::optional<bool> complete;
  };
  // Has a value only while the array of endpoints is being parsed. Throws std::exception on
  // malformed text.
  std::optional<Header> header() const;

  // Requires is_done(). Returns the object without its endpoints, except for samples. Throws
  // nlohmann::json::exception.
  nlohmann::json surrounding_json() const { return nlohmann::json::parse(surrounding_); }
  // Requires is_done() and may be called only once. `enclosing`: the object in surrounding_json()
  // that contains the array of endpoints. Throws EndpointListError or nlohmann::json::exception.
  EndpointList take_list(const nlohmann::json& enclosing);

 private:
  // Tokens that are valid next in the array of endpoints.
  enum class Expected { kEntryOrEnd, kEntry, kCommaOrEnd };

  void consume_surrounding(char byte);
  void consume_separator(char byte);
  bool is_in_entry(char next) const;
  std::size_t consume_entry(std::string_view chunk);
  bool closes_entry(char byte);
  void add_entry(std::string_view text);

  const EndpointListParserLimits limits_;
  const Retain retain_;
  const std::size_t path_length_;
  JsonPathScanner scanner_;
  std::string surrounding_;
  bool in_array_ = false;
  bool done_ = false;

  Expected expected_ = Expected::kEntryOrEnd;
  // Text of an entry that began in an earlier chunk.
  std::string partial_entry_;
  // Number of open brackets in the current entry; 0 between entries.
  int entry_depth_ = 0;
  JsonStringTracker entry_strings_;

  std::size_t bytes_consumed_ = 0;
  std::size_t endpoint_count_ = 0;
  std::size_t endpoints_memory_bytes_ = 0;
  ListedEndpoints endpoints_;
  std::unordered_set<std::uint64_t> sampled_shapes_;
};

// Parses a list from a JSON tree. Throws the same exceptions as EndpointListParser.
EndpointList parse_endpoint_list(const nlohmann::json& list);

}  // namespace quota_gateway::net
