// Limits the traffic that rejected endpoint lists cause: how many bytes of the next list may be
// read, and when to request it. Owned by ListIntake, which reports each rejected or accepted list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Together these limits keep the traffic of a persistent fault below 2 KB per second once the waits
// have grown: twice `bytes_per_second`, plus one request with the first bytes of its response every
// 2 to 4 s.
struct ListLimits {
  // Maximum memory of the endpoints of one list.
  std::size_t memory_bytes = 32 << 20;
  // Bytes of rejected lists after which reads are restricted. The allowance is replenished at
  // `bytes_per_second`.
  std::size_t unrestricted_bytes = 4 << 20;
  // Number of consecutive lists that stop or arrive too slowly after which reads are restricted.
  int max_unfinished_lists = 8;
  // Long-term limit on the bytes read from rejected lists, per second. It applies separately to
  // reads of any size and to reads of small lists.
  double bytes_per_second = 400;
  // First wait before another complete list is read after one that was too large, us.
  Micros initial_wait = 4'000'000;
  // Longest wait between two requests while restricted, us.
  Micros max_request_interval = 4'000'000;
  // Bytes at the start of a list that show whether it is complete, and its revision.
  std::size_t probe_bytes = 1024;
  // Size of a list of a few hundred endpoints.
  std::size_t small_list_bytes = 64 << 10;
};

// Returns the limits for a gateway with a memory limit of `memory_mb`. A list may take a sixth of
// it, because the list in force stays in memory while another list arrives.
ListLimits list_limits_for_memory(std::size_t memory_mb);

// How much may be read of the next complete list.
enum class ListReadScope {
  kProbe,      // only enough to read the header of the list
  kSmallList,  // a list of a few hundred endpoints
  kUnlimited,
};

// Why a list was rejected.
enum class ListFailure {
  kMalformed,   // the list could not be parsed, or the connection broke
  kUnfinished,  // the list stopped or arrived too slowly
  kTooLarge,
};

// While lists keep failing, three kinds of attempts continue. Frequent requests ask for the changes
// since the list in force and read only enough of the response to recognize a complete list. Reads
// of a small complete list and reads of a complete list of any size are rarer; their waits double
// up to what `bytes_per_second` allows. So changes are still accepted, and a complete list is
// accepted again within about the time that the fault lasted, a small list within minutes.
class ListRetryPolicy {
 public:
  // `seed`: seed of the random waits.
  ListRetryPolicy(const ListLimits& limits, std::uint64_t seed);

  // Whether rejected lists have used up the allowance, so that requests and reads are limited.
  bool is_restricted() const;

  // How much may be read of a complete list that arrives now.
  ListReadScope read_scope(Micros now) const;
  // Maximum number of bytes that `scope` allows to read.
  std::size_t max_bytes(ListReadScope scope) const;

  // Call it after a list was rejected. `bytes_read`: bytes read of that list; `scope`: the scope
  // that applied to it.
  void on_failure(ListReadScope scope, std::size_t bytes_read, ListFailure failure, Micros now);
  // Call it after a list of changes was accepted.
  void on_partial_list();
  // Discards all failures. Call it after a complete list was accepted or another agent was chosen.
  void reset();

  // Returns the time until the next request while restricted, us. The waits grow with each call up
  // to `max_request_interval`.
  Micros next_wait(Micros now);

 private:
  // When complete lists of one size class may be read again.
  struct Schedule {
    Micros wait = 0;
    Micros next_at = 0;
  };

  static constexpr Micros kInitialInterval = 60'000;  // us
  // Minimum traffic of an attempt in bytes: a request and the first bytes of its response.
  static constexpr std::size_t kMinAttemptBytes = 1600;

  Micros draw_wait(Micros max_wait);
  void postpone(Schedule& schedule, Micros initial_wait, double traffic_bytes, Micros now);

  const ListLimits limits_;
  std::mt19937_64 random_;
  // Bytes of rejected lists minus the bytes replenished until the last failure.
  double rejected_bytes_ = 0;
  Micros last_failure_at_ = 0;
  Micros request_interval_ = kInitialInterval;
  int unfinished_lists_ = 0;
  Schedule any_size_schedule_;
  Schedule small_list_schedule_;
};

}  // namespace quota_gateway::net
