#include "counter_totals.hpp"

#include <utility>

namespace quota_gateway::scale {

CounterTotals::CounterTotals(Micros now) : swept_until_(now / kBucketWidth) {}

double CounterTotals::add(const std::string& name, double amount, Micros lifetime, Micros now) {
  Total& total = totals_[name];
  if (total.ends_at <= now) {
    total = {0, now + lifetime};
    const auto second = std::size_t(total.ends_at / kBucketWidth + 1);
    ending_.at(second % kBuckets).push_back(name);
  }
  total.sum += amount;
  return total.sum;
}

void CounterTotals::sweep(Micros now) {
  while (swept_until_ < now / kBucketWidth) {
    ++swept_until_;
    const auto names = std::exchange(ending_.at(std::size_t(swept_until_) % kBuckets), {});
    for (const std::string& name : names) {
      const auto it = totals_.find(name);
      // The name may have begun anew meanwhile.
      if (it != totals_.end() && it->second.ends_at <= now) {
        totals_.erase(it);
      }
    }
  }
}

void CounterTotals::clear() {
  totals_.clear();
}

}  // namespace quota_gateway::scale
