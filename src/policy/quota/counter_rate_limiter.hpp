// Limits this gateway's calls to the rate that the counter can serve, and detects when the counter
// is down. QuotaAllocator owns the limiter, CounterSync and PoolLedger acquire calls from it, and
// on_reply() receives each reply of the counter.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// Numbers of calls to the counter, by result.
struct CounterCallCounts {
  int ok = 0;
  int not_added = 0;
  int slow = 0;  // failed without a usable reply after more than half of the timeout
  int lost = 0;  // failed without a usable reply earlier: the connection failed
};

// A token bucket of calls. Its rate adapts to the counter's replies.
class CounterRateLimiter {
 public:
  // `settings` must outlive this object; they may change.
  explicit CounterRateLimiter(const Settings& settings);

  // Refills the bucket up to `now`.
  void refill(Micros now);
  // Calls in the bucket as of the last refill.
  double available() const { return available_calls_; }
  // Maximum number of calls in the bucket.
  double capacity() const;

  // Takes one call from the bucket, even if the bucket is empty.
  void take() { available_calls_ -= 1; }

  // Takes a call if there is a counter, the counter is not down, and a call is available now or
  // within `overdraft_seconds`. Returns whether it took one.
  bool try_acquire(Micros now, double overdraft_seconds);

  // Whether the latest calls all failed, so that no request should wait for the counter.
  bool is_counter_down() const;

  // Adapts the rate to the result of a call. Must be called once for each reply.
  void on_reply(Micros now, const CounterReply& reply);

  // The present limit.
  double calls_per_second() const { return calls_per_second_; }

  // Returns the counts since the previous call of this function and resets them.
  CounterCallCounts take_call_counts();

 private:
  double initial_calls() const;
  void count_reply(CounterOutcome outcome, bool is_slow);
  void adjust_rate();

  const Settings& settings_;
  double calls_per_second_;
  double available_calls_;
  double rate_before_failures_;  // calls per second before the latest run of failed calls
  double congestion_ = 0;        // weighted fraction of failed or slow calls; a decaying mean
  int consecutive_failures_ = 0;
  Micros refilled_at_ = 0;
  Micros congestion_at_ = 0;
  CounterCallCounts counts_;
};

}  // namespace quota_gateway::policy
