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
struct MemberEntry {
  std::string server, zone;
  std::int64_t cell = 0;
  double weight = 1;
  Micros started_at = 0;
  EndpointState state = EndpointState::kUp;
  operator EndpointEntry() const { return {server, zone, "", cell, state, weight, started_at}; }
};
struct Member {
  MemberEntry entry;
  boost::asio::ip::tcp::endpoint address;  // port 0: not told
};
// Danger: a vector of so many takes twice their memory or more while it grows.
using Members = std::deque<Member>;
// Bytes, about.
std::size_t memory(const Member& member);

struct EndpointList {
  std::int64_t revision = 0;
  bool complete = false;  // else only what changed
  Members members;
};

// Throws std::exception on a list of the wrong shape.
EndpointList parse_members(const nlohmann::json& list);
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

// More than may be kept or waited for, whatever else would follow.
class TooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ReadLimits {
  std::size_t memory = std::numeric_limits<std::size_t>::max();  // bytes of members
  std::size_t bytes = std::numeric_limits<std::size_t>::max();   // of all of the text
  std::size_t around = std::numeric_limits<std::size_t>::max();  // bytes of it that are not members
};

// Takes a JSON object in pieces. Each object of the array at `path` is parsed once its closing
// bracket has come and is kept as a member; the rest of the text stays as it is and is parsed at
// the end.
class EndpointListParser {
 public:
  enum class Keep {
    kMembers,
    kSamples,  // besides, in the rest, one member of each shape: of keys and kinds of values
    kOnlySamples
  };
  explicit EndpointListParser(std::vector<std::string> path, ReadLimits limits = {},
                              Keep keep = Keep::kMembers);

  // Returns how many bytes it took: all, or those up to the object's end. Throws std::exception.
  std::size_t take(std::string_view piece);
  bool done() const { return done_; }
  std::size_t bytes() const { return bytes_; }  // taken
  std::size_t members() const { return count_; }

  // What stands before the members, once these have begun.
  struct Head {
    std::optional<std::int64_t> revision;
    std::optional<bool> complete;
  };
  std::optional<Head> head() const;
  // Once done: all but the members.
  nlohmann::json rest() const { return nlohmann::json::parse(rest_); }
  // Once done; `around`: the object in rest() that the members stand in.
  EndpointList list(const nlohmann::json& around);

 private:
  enum class Next { kFirst, kMember, kComma };  // within the array
  void around(char c);
  void opened(char bracket);
  void between(char c);
  std::size_t within(std::string_view piece);
  void member(std::string_view text);

  const std::vector<std::string> path_;
  const ReadLimits limits_;
  const Keep keep_;
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
  Members members_;
  std::unordered_set<std::uint64_t> shapes_;
};

}  // namespace quota_gateway::net
