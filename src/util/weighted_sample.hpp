// Draws a few candidates by random keys and selects the one with the lowest cost among them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace quota_gateway {

// If each key is drawn from an exponential distribution with the weight of the item as the rate,
// the items with the lowest keys are a weighted random sample without replacement.
//
// Stores only pointers to the items. `clear` keeps the allocated memory for reuse.
template <typename Item>
class WeightedSample {
 public:
  void clear() { candidates_.clear(); }
  bool empty() const { return candidates_.empty(); }
  void add(double key, double cost, Item* item) { candidates_.push_back({key, cost, item}); }

  // Returns the item with the lowest cost among the `sample_size` candidates with the lowest keys;
  // if costs are equal, the one with the lowest key. Returns null if there are no candidates.
  // `sample_size` must be at least 1. Reorders the candidates.
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
