// Receives one endpoint list at a time from a watch: parses it, limits how much of it may be read
// and how slowly it may arrive, and schedules the next request after a rejected list. Owned by
// DiscoveryClient, which reads the bytes; no I/O, no clock.
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
  // `max_pause`: longest time without further bytes of a list, us. `seed`: seed of the random
  // waits.
  ListIntake(const ListLimits& limits, Micros max_pause, std::uint64_t seed);

  // How much may be read of a complete list that arrives now.
  ListReadScope read_scope(Micros now) const { return retry_policy_.read_scope(now); }

  void begin(Micros now);
  // Whether a list has begun and has not been finished, rejected or abandoned.
  bool is_in_progress() const { return parser_.has_value(); }
  // Number of lists that have begun so far.
  int begun_count() const { return begun_count_; }

  // The calls from here to reject() require a list in progress.

  // Parses the piece up to the end of the list and returns the number of bytes parsed. Throws
  // std::exception on malformed text, EndpointListTooLarge on a list that exceeds the limits.
  std::size_t consume(std::string_view piece) { return parser_->parse_chunk(piece); }
  // Whether the end of the list has been consumed.
  bool is_complete() const { return parser_->is_done(); }
  // Call it after each piece that does not end the list. Throws EndpointListError if no more of the
  // list may be read. Returns true when the header of the list has lifted the read limit.
  bool enforce_read_scope();
  // Requires is_complete(). Accepts and returns the list. Throws std::exception on a malformed list
  // or a complete list without endpoints; such a list remains in progress.
  EndpointList finish();

  // Call it when bytes have arrived that do not end the list. Returns whether this is the first
  // call for the list.
  bool on_progress(std::size_t bytes, Micros now);
  // The time by which further bytes of the list must arrive. Requires a call of on_progress().
  Micros deadline() const;
  // Moves the deadline to no earlier than now + `grace`.
  void extend_deadline(Micros now, Micros grace);

  struct Rejection {
    std::size_t bytes = 0;
    std::size_t endpoints = 0;
    // Whether only the first bytes of the list were allowed to be read (ListReadScope::kProbe).
    bool was_probe = false;
    // Time until the next request, us. No value while rejected lists do not restrict requests yet.
    std::optional<Micros> retry_wait;
  };
  // Rejects the list in progress.
  Rejection reject(ListFailure failure, Micros now);

  // Discards the list in progress, if any, without counting it as a failure.
  void abandon() { parser_.reset(); }
  // Discards the list in progress and all failures, for a switch to another agent.
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
  // Header of the last rejected list other than a probe; empty if it was not parsed.
  std::optional<Header> rejected_header_;
  // When bytes of the list in progress last arrived.
  std::optional<Micros> last_progress_at_;
  // Deadline that follows from the minimum throughput of a list.
  Micros throughput_deadline_ = 0;
};

}  // namespace quota_gateway::net
