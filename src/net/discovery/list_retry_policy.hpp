// Limits what rejected endpoint lists may cost: how many bytes of the next list may be read, and
// when to ask for it. Owned by DiscoveryClient, which reports each list that it rejects or accepts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Together these keep a lasting fault under 2 KB a second once the waits have grown: two times
// `bytes_per_second`, and a request with the first bytes of its response each 2 to 4 s.
struct ListLimits {
  // Memory that the endpoints of one list may use.
  std::size_t memory_bytes = 32 << 20;
  // Bytes of rejected lists that restrict nothing yet; replenished at `bytes_per_second`.
  std::size_t unrestricted_bytes = 4 << 20;
  // Consecutive lists that stop or trickle and restrict nothing yet.
  int max_unfinished_lists = 8;
  // What rejected lists may cost in the long run.
  double bytes_per_second = 400;
  // The first wait for a further complete list after one that was too large, us.
  Micros initial_wait = 4'000'000;
  // The longest wait between two requests while restricted, us.
  Micros max_request_interval = 4'000'000;
  // Bytes of a list that show what it is.
  std::size_t probe_bytes = 1024;
  // Bytes of a list of some hundred endpoints.
  std::size_t small_list_bytes = 64 << 10;
};

// For a gateway whose configuration allows `memory_mb`. A list gets a sixth of it: while a list
// arrives, the one in force stays.
ListLimits list_limits_for_memory(std::size_t memory_mb);

// How much of the next complete list may be read.
enum class ListReadScope {
  kProbe,      // enough to see what the list is
  kSmallList,  // a list of some hundred endpoints
  kUnlimited,
};

// Why a list was rejected.
enum class ListFailure {
  kMalformed,   // it could not be parsed, or its connection broke
  kUnfinished,  // it stopped or trickled
  kTooLarge,
};

// While the fault lasts, three kinds of attempts go on. Often: what changed since the list in
// force, of which only so much is read that a complete list shows itself as one. Seldom, with waits
// that double up to what `bytes_per_second` allows: a small list, and one of any size. So a change
// that arrives as one is accepted as ever, and the end of a fault is noticed after no more than
// about the time that it lasted, for a small list within minutes.
class ListRetryPolicy {
 public:
  // `seed`: of the random draws that spread the waits.
  ListRetryPolicy(const ListLimits& limits, std::uint64_t seed);

  // Whether so many lists were rejected that only part of the next one may be read.
  bool is_restricted() const;

  // How much of a complete list that arrives now may be read.
  ListReadScope read_scope(Micros now) const;
  // The same in bytes.
  std::size_t max_bytes(ListReadScope scope) const;

  // A list was rejected after `bytes_read`; `scope` is what applied to it.
  void on_failure(ListReadScope scope, std::size_t bytes_read, ListFailure failure, Micros now);
  // A list of changes was accepted.
  void on_partial_list();
  // A complete list was accepted, or the lists come from another agent now: forgets all failures.
  void reset();

  // Time until the next request while restricted, us. Each call lengthens the next ones.
  Micros next_wait(Micros now);

 private:
  // When lists of one size may be read again.
  struct Schedule {
    Micros wait = 0;
    Micros next_at = 0;
  };

  static constexpr Micros kInitialInterval = 60'000;  // us
  // Bytes of a request and the first of its response, which each attempt costs at the least.
  static constexpr std::size_t kMinCost = 1600;

  Micros draw_wait(Micros max_wait);
  void postpone(Schedule& schedule, Micros initial_wait, double cost, Micros now);

  const ListLimits limits_;
  std::mt19937_64 random_;
  // Bytes of rejected lists, less what was replenished up to `failed_at_`.
  double wasted_bytes_ = 0;
  Micros failed_at_ = 0;
  Micros request_interval_ = kInitialInterval;
  int unfinished_lists_ = 0;
  Schedule any_size_;
  Schedule small_lists_;
};

}  // namespace quota_gateway::net
