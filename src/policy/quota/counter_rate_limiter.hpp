// Limits this gateway's calls to the counter to what the counter answers, and tells when it is
// down. QuotaAllocator owns it; CounterSync and PoolLedger take calls from it; each reply of the
// counter goes to on_reply().
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// How the calls to the counter ended.
struct CounterCallCounts {
  int ok = 0;
  int not_added = 0;
  int slow = 0;  // no answer, after more than half the time-out
  int lost = 0;  // no answer, before that: the connection failed
};

// A token bucket of calls whose rate follows the counter's replies.
class CounterRateLimiter {
 public:
  // `settings` must outlive this; they may change.
  explicit CounterRateLimiter(const Settings& settings);

  // Fills the bucket up to `now`. available() and capacity() are as of the last refill.
  void refill(Micros now);
  double available() const { return available_calls_; }
  double capacity() const;

  // Takes one call of those available, whether or not there is one.
  void take() { available_calls_ -= 1; }

  // Takes a call, if there is a counter that answers, and one is available now or within
  // `overdraft_seconds`.
  bool try_acquire(Micros now, double overdraft_seconds);

  // So many calls in a row failed that no request should wait for the counter.
  bool is_counter_down() const;

  // A call was answered or failed. To be called once for each reply.
  void on_reply(Micros now, const CounterReply& reply);

  double calls_per_second() const { return calls_per_second_; }

  // The counts since the last call of this function.
  CounterCallCounts take_call_counts();

 private:
  double initial_calls() const;
  void count_reply(CounterOutcome outcome, bool is_slow);
  void adjust_rate();

  const Settings& settings_;
  double calls_per_second_;
  double available_calls_;
  double rate_before_failures_;  // calls a second, before the last run of failed calls
  double congestion_ = 0;        // fraction of calls that failed or were slow; decaying mean
  int failures_in_a_row_ = 0;
  Micros refilled_at_ = 0;
  Micros congestion_at_ = 0;
  CounterCallCounts counts_;
};

}  // namespace quota_gateway::policy
