#include "util/sliding_window_sum.hpp"

namespace quota_gateway {

void SlidingWindowSum::add(Micros now, double amount) {
  entries_.push_back({now, amount});
}

double SlidingWindowSum::sum_within(Micros now, double span) {
  std::erase_if(entries_, [&](const Entry& entry) {
    return static_cast<double>(now - entry.added_at) >= span;
  });
  double sum = 0;
  for (const Entry& entry : entries_) {
    sum += entry.amount;
  }
  return sum;
}

}  // namespace quota_gateway
