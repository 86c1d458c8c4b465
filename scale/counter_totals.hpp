// The totals of a counter by counter key. A total expires one lifetime after its first addition.
// FakeCounter owns this object and passes in the time; it does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Stores the totals and removes expired ones.
class CounterTotals {
 public:
  static constexpr Micros kMaxLifetime = 60'000'000;

  explicit CounterTotals(Micros now);

  // Adds `amount` to the total of the key and returns the new total. `lifetime` must be at most
  // kMaxLifetime and is ignored if the key has a total that has not expired.
  double add(const std::string& key, double amount, Micros lifetime, Micros now);
  // Removes expired totals, up to a second after their expiry.
  void sweep(Micros now);
  void clear();
  // Returns the number of totals, including expired ones that are not removed yet.
  std::size_t size() const { return totals_.size(); }

 private:
  static constexpr Micros kBucketWidth = 1'000'000;
  // One bucket for each second of the maximum lifetime, one for rounding up and one for the second
  // that is being swept.
  static constexpr std::size_t kBuckets = kMaxLifetime / kBucketWidth + 2;

  struct Total {
    double sum = 0;
    Micros expires_at = 0;
  };

  std::unordered_map<std::string, Total> totals_;
  // Keys by the second from which on their totals may be removed.
  std::array<std::vector<std::string>, kBuckets> expiring_keys_;
  // The last second of the clock that was swept.
  std::int64_t swept_until_;
};

}  // namespace quota_gateway::scale
