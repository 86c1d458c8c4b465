// The sum of the amounts that were added within a recent span of time.
#pragma once

#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway {

class SlidingWindowSum {
 public:
  // Instants must not go backwards.
  void add(Micros now, double amount);

  // True if every amount was forgotten by `sum_within`, or none was added.
  bool empty() const { return entries_.empty(); }

  // The sum of the amounts that are younger than `span` (us); forgets the others for good.
  double sum_within(Micros now, double span);

 private:
  struct Entry {
    Micros added_at = 0;
    double amount = 0;
  };

  std::vector<Entry> entries_;  // oldest first
};

}  // namespace quota_gateway
