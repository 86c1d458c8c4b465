// Members of discovery's list: as one is told, kept small, and read from JSON that comes in pieces.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// As the module's EndpointEntry, which it becomes where one is wanted, without the kind that
// nothing reads. Danger: a list may name 170,000 of them; each byte here is 170 KB.
struct CompactEndpointEntry {
  std::string server, zone;
  std::int64_t cell = 0;
  double weight = 1;
  Micros started_at = 0;
  EndpointState state = EndpointState::kUp;
  operator EndpointEntry() const { return {server, zone, "", cell, state, weight, started_at}; }
};
struct ListedEndpoint {
  CompactEndpointEntry entry;
  boost::asio::ip::tcp::endpoint address;  // port 0: not told
};
// Danger: a vector of so many takes twice their memory or more while it grows.
using ListedEndpoints = std::deque<ListedEndpoint>;
// Bytes, about.
std::size_t memory(const ListedEndpoint& member);

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = false;  // else only what changed
  ListedEndpoints endpoints;
};

// Throws std::exception on a list of the wrong shape.
EndpointList parse_endpoint_list(const nlohmann::json& list);
boost::asio::ip::tcp::endpoint parse_socket_address(const std::string& text);

// More than may be kept or waited for, whatever else would follow.
class EndpointListTooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct EndpointListLimits {
  std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();  // bytes of members
  std::size_t text_bytes = std::numeric_limits<std::size_t>::max();    // of all of the text
  std::size_t surrounding_bytes =
      std::numeric_limits<std::size_t>::max();  // bytes of it that are not members
};

// Takes a JSON object in pieces. Each object of the array at `path` is parsed once its closing
// bracket has come and is kept as a member; the rest of the text stays as it is and is parsed at
// the end.
class EndpointListParser {
 public:
  enum class Retain {
    kEndpoints,
    kEndpointsAndSamples,  // besides, in the rest, one member of each shape: of keys and kinds of
                           // values
    kSamplesOnly
  };
  explicit EndpointListParser(std::vector<std::string> path, EndpointListLimits limits = {},
                              Retain keep = Retain::kEndpoints);

  // Returns how many bytes it took: all, or those up to the object's end. Throws std::exception.
  std::size_t parse_chunk(std::string_view piece);
  bool is_done() const { return done_; }
  std::size_t bytes_consumed() const { return bytes_; }  // taken
  std::size_t endpoint_count() const { return count_; }

  // What stands before the members, once these have begun.
  struct Header {
    std::optional<std::int64_t> revision;
    std::optional<bool> complete;
  };
  std::optional<Header> header() const;
  // Once done: all but the members.
  nlohmann::json surrounding_json() const { return nlohmann::json::parse(rest_); }
  // Once done; `around`: the object in rest() that the members stand in.
  EndpointList take_list(const nlohmann::json& around);

 private:
  enum class Next { kFirst, kMember, kComma };  // within the array
  void around(char c);
  void opened(char bracket);
  void between(char c);
  std::size_t within(std::string_view piece);
  void member(std::string_view text);

  const std::vector<std::string> path_;
  const EndpointListLimits limits_;
  const Retain keep_;
  std::string rest_;
  std::vector<std::string>
      keys_;           // keys_[d]: the last key at depth d, as far down as the path goes
  std::string token_;  // the last text there
  int depth_ = 0;      // of open brackets but for those in a member
  bool quoted_ = false, escaped_ = false, done_ = false;
  bool found_ = false, in_array_ = false, sampled_ = false;
  Next next_ = Next::kFirst;
  std::string member_;    // begun in an earlier piece
  int member_depth_ = 0;  // 0: in none
  std::size_t bytes_ = 0, count_ = 0, memory_ = 0;
  ListedEndpoints members_;
  std::unordered_set<std::uint64_t> shapes_;
};

}  // namespace quota_gateway::net
