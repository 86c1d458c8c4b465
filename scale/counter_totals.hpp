// The totals of a counter by name, each of which ends a lifetime after its first addition. Owned
// by FakeCounter; does no I/O and is told the time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class CounterTotals {
 public:
  static constexpr Micros kMaxLifetime = 60'000'000;

  explicit CounterTotals(Micros now);

  // Adds to the total of the name and returns the sum. The lifetime, at most kMaxLifetime, counts
  // only if the name has no total yet.
  double add(const std::string& name, double amount, Micros lifetime, Micros now);
  // Forgets the totals that have ended, up to a second late.
  void sweep(Micros now);
  void clear();
  // Names, those that have ended but are not swept yet included.
  std::size_t size() const { return totals_.size(); }

 private:
  static constexpr Micros kBucketWidth = 1'000'000;
  // One for each second of a lifetime, one for rounding up and one for the second that is swept.
  static constexpr std::size_t kBuckets = kMaxLifetime / kBucketWidth + 2;

  struct Total {
    double sum = 0;
    Micros ends_at = 0;
  };

  std::unordered_map<std::string, Total> totals_;
  // Names by the second in which they may be forgotten.
  std::array<std::vector<std::string>, kBuckets> ending_;
  // Seconds since the clock's start.
  std::int64_t swept_until_;
};

}  // namespace quota_gateway::scale
