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
  return wasted_bytes_ > double(limits_.unrestricted_bytes) ||
         unfinished_lists_ >= limits_.max_unfinished_lists;
}

ListReadScope ListRetryPolicy::read_scope(Micros now) const {
  if (!is_restricted() || now >= any_size_.next_at) {
    return ListReadScope::kUnlimited;
  }
  return now >= small_lists_.next_at ? ListReadScope::kSmallList : ListReadScope::kProbe;
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
  const auto cost = double(std::max(bytes_read, kMinCost));
  // A malformed list may be correct the next moment; one that is too large stays so.
  const Micros initial_wait =
      failure == ListFailure::kTooLarge ? limits_.initial_wait : kInitialInterval;
  const bool is_probe = scope == ListReadScope::kProbe;
  if (!is_probe) {
    const double replenished = double(now - failed_at_) / 1e6 * limits_.bytes_per_second;
    wasted_bytes_ = std::max(0.0, wasted_bytes_ - replenished) + cost;
    failed_at_ = now;
    unfinished_lists_ = failure == ListFailure::kUnfinished ? unfinished_lists_ + 1 : 0;
  }
  // One that failed within what may be read of a small list would have failed in any case.
  if (!is_probe && bytes_read < max_bytes(scope)) {
    postpone(any_size_, initial_wait, cost, now);
  }
  if (!is_probe) {
    postpone(small_lists_, initial_wait, std::min(cost, double(limits_.small_list_bytes)), now);
  }
  // Small lists have a schedule of their own only once those of any size are further apart.
  if (any_size_.wait <= small_lists_.wait) {
    small_lists_.next_at = any_size_.next_at;
  }
}

void ListRetryPolicy::on_partial_list() {
  unfinished_lists_ = 0;
}

void ListRetryPolicy::reset() {
  unfinished_lists_ = 0;
  wasted_bytes_ = 0;
  request_interval_ = kInitialInterval;
  any_size_ = {};
  small_lists_ = {};
}

// Many gateways may have the same fault. Without random waits they would send their requests
// together.
Micros ListRetryPolicy::next_wait(Micros now) {
  request_interval_ = std::min(2 * request_interval_, limits_.max_request_interval);
  const Micros drawn = draw_wait(request_interval_);
  const Micros next_full_read_at = std::min(any_size_.next_at, small_lists_.next_at);
  return std::min(drawn, std::max<Micros>(0, next_full_read_at - now));
}

Micros ListRetryPolicy::draw_wait(Micros max_wait) {
  return std::uniform_int_distribution<Micros>(max_wait / 2, max_wait)(random_);
}

void ListRetryPolicy::postpone(Schedule& schedule, Micros initial_wait, double cost, Micros now) {
  const auto affordable_wait = Micros(cost / limits_.bytes_per_second * 1e6);
  schedule.wait = std::min(std::max(initial_wait, 2 * schedule.wait), affordable_wait);
  schedule.next_at = now + schedule.wait + draw_wait(schedule.wait) / 2;
}

}  // namespace quota_gateway::net
