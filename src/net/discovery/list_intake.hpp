// The endpoint list that is arriving on a watch: how much of it may be read, by when more of it
// must arrive, and what follows if it is rejected. Owned by DiscoveryClient, which reads the bytes;
// no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "net/discovery/endpoint_list_parser.hpp"
#include "net/discovery/list_retry_policy.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class ListIntake {
 public:
  // `max_pause`: the longest time without any more of a list, us. `seed`: of random waits.
  ListIntake(const ListLimits& limits, Micros max_pause, std::uint64_t seed);

  // How much of a complete list that arrives now may be read.
  ListReadScope read_scope(Micros now) const { return retry_policy_.read_scope(now); }

  void begin(Micros now);
  // A list has begun, and was neither finished, rejected nor abandoned.
  bool is_in_progress() const { return parser_.has_value(); }
  // How many lists have begun so far.
  int begun_count() const { return begun_count_; }

  // The following calls need a list in progress.

  // Returns how many bytes belong to the list. Throws std::exception on malformed text,
  // EndpointListTooLarge on a list beyond the limits.
  std::size_t consume(std::string_view piece) { return parser_->parse_chunk(piece); }
  // Whether all of the list has been consumed.
  bool is_complete() const { return parser_->is_done(); }
  // After a piece that doesn't end the list. Throws EndpointListError if no more of the list may be
  // read. Returns true once it turns out that all of it may be read, although less was certain
  // before.
  bool enforce_read_scope();
  // Once all is consumed: accepts the list. Throws std::exception on a malformed or empty one,
  // which remains in progress.
  EndpointList finish();

  // More of the list has arrived, and it has not ended. Returns whether this is its first progress.
  bool on_progress(std::size_t bytes, Micros now);
  // When more of the list must have arrived. Needs progress.
  Micros deadline() const;
  // Moves the deadline to `grace` from now at the least.
  void extend_deadline(Micros now, Micros grace);

  struct Rejection {
    std::size_t bytes = 0;
    std::size_t endpoints = 0;
    // Only the first bytes of the list were to be read.
    bool was_probe = false;
    // Time until the next request, us; none while a further list costs little.
    std::optional<Micros> retry_wait;
  };
  // Rejects the list in progress.
  Rejection reject(ListFailure failure, Micros now);

  // Drops the list in progress, if any, which has no consequences.
  void abandon() { parser_.reset(); }
  // Besides forgets all failures: the next list comes from another agent.
  void reset();

 private:
  using Header = EndpointListParser::Header;

  static bool may_be_complete(const Header& header);

  const ListLimits limits_;
  const Micros max_pause_;
  ListRetryPolicy retry_policy_;
  std::optional<EndpointListParser> parser_;
  int begun_count_ = 0;
  ListReadScope scope_ = ListReadScope::kUnlimited;
  bool header_checked_ = false;
  // Of the last rejected list.
  std::optional<Header> rejected_header_;
  // Of the list in progress.
  std::optional<Micros> last_progress_at_;
  Micros pace_deadline_ = 0;
};

}  // namespace quota_gateway::net
