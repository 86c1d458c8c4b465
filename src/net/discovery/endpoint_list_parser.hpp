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

// What a list may take; beyond it the parser throws EndpointListTooLarge.
struct EndpointListLimits {
  // Memory of the endpoints.
  std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();
  // The whole text.
  std::size_t text_bytes = std::numeric_limits<std::size_t>::max();
  // The text but for the endpoints.
  std::size_t surrounding_bytes = std::numeric_limits<std::size_t>::max();
};

// Consumes one JSON object. Each entry of the array of endpoints is parsed as soon as its closing
// bracket has arrived; the text around the array is kept and parsed at the end. After an exception
// only bytes_consumed() and endpoint_count() may be called, and header() if it has had a value.
class EndpointListParser {
 public:
  // What to keep of the entries. A sample is the text of one entry of each shape (see
  // ParsedEndpointEntry); samples stay in surrounding_json().
  enum class Retain { kEndpoints, kEndpointsAndSamples, kSamplesOnly };

  // `path`: the keys from the object down to the array of endpoints.
  explicit EndpointListParser(std::vector<std::string> path, EndpointListLimits limits = {},
                              Retain retain = Retain::kEndpoints);

  // Returns how many bytes belong to the object: all, or those up to its end. Throws
  // EndpointListError, or another std::exception on malformed text.
  std::size_t parse_chunk(std::string_view chunk);
  // Whether the object has ended.
  bool is_done() const { return done_; }
  // Bytes of all chunks so far, up to the object's end.
  std::size_t bytes_consumed() const { return bytes_consumed_; }
  std::size_t endpoint_count() const { return endpoint_count_; }

  // The fields that precede the endpoints.
  struct Header {
    std::optional<std::int64_t> revision;
    std::optional<bool> complete;
  };
  // None before the array of endpoints has begun and after it has ended. Throws std::exception on
  // malformed text.
  std::optional<Header> header() const;

  // Once done: the object without its endpoints. Throws nlohmann::json::exception.
  nlohmann::json surrounding_json() const { return nlohmann::json::parse(surrounding_); }
  // Once done, and once only. `enclosing`: the object in surrounding_json() that the array of
  // endpoints is in. Throws EndpointListError or nlohmann::json::exception.
  EndpointList take_list(const nlohmann::json& enclosing);

 private:
  // What may come next in the array of endpoints.
  enum class Expected { kEntryOrEnd, kEntry, kCommaOrEnd };

  void consume_surrounding(char byte);
  void consume_separator(char byte);
  bool is_in_entry(char next) const;
  std::size_t consume_entry(std::string_view chunk);
  bool closes_entry(char byte);
  void add_entry(std::string_view text);

  const EndpointListLimits limits_;
  const Retain retain_;
  const std::size_t path_length_;
  JsonPathScanner scanner_;
  std::string surrounding_;
  bool in_array_ = false;
  bool done_ = false;

  Expected expected_ = Expected::kEntryOrEnd;
  // Of an entry that began in an earlier chunk.
  std::string partial_entry_;
  // Open brackets of the entry; 0 between entries.
  int entry_depth_ = 0;
  JsonStringTracker entry_strings_;

  std::size_t bytes_consumed_ = 0;
  std::size_t endpoint_count_ = 0;
  std::size_t endpoints_memory_bytes_ = 0;
  ListedEndpoints endpoints_;
  std::unordered_set<std::uint64_t> sampled_shapes_;
};

// Parses a list that is already a tree. Throws as the parser's functions do.
EndpointList parse_endpoint_list(const nlohmann::json& list);

}  // namespace quota_gateway::net
