#include "counter_totals.hpp"

#include <utility>

namespace quota_gateway::scale {

CounterTotals::CounterTotals(Micros now) : swept_until_(now / kBucketWidth) {}

double CounterTotals::add(const std::string& key, double amount, Micros lifetime, Micros now) {
  Total& total = totals_[key];
  if (total.expires_at <= now) {
    total = {0, now + lifetime};
    const auto second = std::size_t(total.expires_at / kBucketWidth + 1);
    expiring_keys_.at(second % kBuckets).push_back(key);
  }
  total.sum += amount;
  return total.sum;
}

void CounterTotals::sweep(Micros now) {
  while (swept_until_ < now / kBucketWidth) {
    ++swept_until_;
    const auto keys = std::exchange(expiring_keys_.at(std::size_t(swept_until_) % kBuckets), {});
    for (const std::string& key : keys) {
      const auto it = totals_.find(key);
      // The key may have a new total by now, if it was added to again after the old total expired.
      if (it != totals_.end() && it->second.expires_at <= now) {
        totals_.erase(it);
      }
    }
  }
}

void CounterTotals::clear() {
  totals_.clear();
}

}  // namespace quota_gateway::scale
