#include "net/discovery/list_retry_policy.hpp"

#include <algorithm>

namespace quota_gateway::net {

ListLimits list_limits_for_memory(std::size_t memory_mb) {
  ListLimits limits;
  limits.memory_bytes = (memory_mb << 20) / 6;
  return limits;
}

ListRetryPolicy::ListRetryPolicy(const ListLimits& limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

bool ListRetryPolicy::is_restricted() const {
  return rejected_bytes_ > double(limits_.unrestricted_bytes) ||
         unfinished_lists_ >= limits_.max_unfinished_lists;
}

ListReadScope ListRetryPolicy::read_scope(Micros now) const {
  if (!is_restricted() || now >= any_size_schedule_.next_at) {
    return ListReadScope::kUnlimited;
  }
  return now >= small_list_schedule_.next_at ? ListReadScope::kSmallList : ListReadScope::kProbe;
}

std::size_t ListRetryPolicy::max_bytes(ListReadScope scope) const {
  switch (scope) {
    case ListReadScope::kProbe:
      return limits_.probe_bytes;
    case ListReadScope::kSmallList:
      return limits_.small_list_bytes;
    case ListReadScope::kUnlimited:
      break;
  }
  return std::numeric_limits<std::size_t>::max();
}

void ListRetryPolicy::on_failure(ListReadScope scope, std::size_t bytes_read, ListFailure failure,
                                 Micros now) {
  const auto traffic_bytes = double(std::max(bytes_read, kMinAttemptBytes));
  // A malformed list may be correct in the next response, whereas a list that is too large probably
  // remains too large.
  const Micros initial_wait =
      failure == ListFailure::kTooLarge ? limits_.initial_wait : kInitialInterval;
  const bool is_probe = scope == ListReadScope::kProbe;
  if (!is_probe) {
    const double replenished = double(now - last_failure_at_) / 1e6 * limits_.bytes_per_second;
    rejected_bytes_ = std::max(0.0, rejected_bytes_ - replenished) + traffic_bytes;
    last_failure_at_ = now;
    unfinished_lists_ = failure == ListFailure::kUnfinished ? unfinished_lists_ + 1 : 0;
  }
  // Postpones reads of any size only if the list failed within its limit. A small-list read that
  // reached its limit does not show whether the complete list would have failed.
  if (!is_probe && bytes_read < max_bytes(scope)) {
    postpone(any_size_schedule_, initial_wait, traffic_bytes, now);
  }
  if (!is_probe) {
    postpone(small_list_schedule_, initial_wait,
             std::min(traffic_bytes, double(limits_.small_list_bytes)), now);
  }
  // Small lists have their own schedule only while lists of any size are read less often.
  if (any_size_schedule_.wait <= small_list_schedule_.wait) {
    small_list_schedule_.next_at = any_size_schedule_.next_at;
  }
}

void ListRetryPolicy::on_partial_list() {
  unfinished_lists_ = 0;
}

void ListRetryPolicy::reset() {
  unfinished_lists_ = 0;
  rejected_bytes_ = 0;
  request_interval_ = kInitialInterval;
  any_size_schedule_ = {};
  small_list_schedule_ = {};
}

// The waits are random, because many gateways may receive the same faulty list and would otherwise
// send their requests at the same time.
Micros ListRetryPolicy::next_wait(Micros now) {
  request_interval_ = std::min(2 * request_interval_, limits_.max_request_interval);
  const Micros drawn = draw_wait(request_interval_);
  const Micros next_full_read_at =
      std::min(any_size_schedule_.next_at, small_list_schedule_.next_at);
  return std::min(drawn, std::max<Micros>(0, next_full_read_at - now));
}

Micros ListRetryPolicy::draw_wait(Micros max_wait) {
  return std::uniform_int_distribution<Micros>(max_wait / 2, max_wait)(random_);
}

void ListRetryPolicy::postpone(Schedule& schedule, Micros initial_wait, double traffic_bytes,
                               Micros now) {
  const auto affordable_wait = Micros(traffic_bytes / limits_.bytes_per_second * 1e6);
  schedule.wait = std::min(std::max(initial_wait, 2 * schedule.wait), affordable_wait);
  schedule.next_at = now + schedule.wait + draw_wait(schedule.wait) / 2;
}

}  // namespace quota_gateway::net
