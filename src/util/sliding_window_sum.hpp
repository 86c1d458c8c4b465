// The sum of the amounts that were added within a time window that ends now.
#pragma once

#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway {

// The times passed to one object must not decrease.
class SlidingWindowSum {
 public:
  void add(Micros now, double amount);

  // True if no amount was added, or if `sum_within` has removed all of them.
  bool empty() const { return entries_.empty(); }

  // Returns the sum of the amounts that are younger than `span` microseconds, and removes the
  // others permanently.
  double sum_within(Micros now, double span);

 private:
  struct Entry {
    Micros added_at = 0;
    double amount = 0;
  };

  std::vector<Entry> entries_;  // oldest first
};

}  // namespace quota_gateway
