// Draws a few candidates by random keys and picks the one of the least cost among them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace quota_gateway {

// With keys that are exponentially distributed, at a rate that is the item's weight, the items of
// the least keys are a weighted sample without replacement. Keeps pointers alone; its memory is
// used again after `clear`.
template <typename Item>
class WeightedSample {
 public:
  void clear() { candidates_.clear(); }
  bool empty() const { return candidates_.empty(); }
  void add(double key, double cost, Item* item) { candidates_.push_back({key, cost, item}); }

  // Among the `sample_size` (at least 1) candidates with the least keys, the one of the least cost,
  // and of equal costs the one of the least key. Null if there are no candidates. Reorders them.
  Item* cheapest_of(std::size_t sample_size) {
    if (candidates_.empty()) {
      return nullptr;
    }
    const std::size_t size = std::min(sample_size, candidates_.size());
    const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(size);
    std::nth_element(candidates_.begin(), end - 1, candidates_.end(), has_lower_key);
    return std::min_element(candidates_.begin(), end, is_cheaper)->item;
  }

 private:
  struct Candidate {
    double key = 0;
    double cost = 0;
    Item* item = nullptr;
  };

  static bool has_lower_key(const Candidate& left, const Candidate& right) {
    return left.key < right.key;
  }
  static bool is_cheaper(const Candidate& left, const Candidate& right) {
    return left.cost < right.cost || (left.cost == right.cost && left.key < right.key);
  }

  std::vector<Candidate> candidates_;
};

}  // namespace quota_gateway
