// Things drawn by a random key, of which the one of the least cost is taken: nothing that decides.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace quota_gateway {

template <typename T>
class WeightedSample {
 public:
  void clear() { draws_.clear(); }
  bool empty() const { return draws_.empty(); }
  void add(double key, double cost, T* item) { draws_.push_back({key, cost, item}); }

  // Of the `few` (at least 1) with the least keys the one that costs least, and of equal ones the
  // first by key; null if there are none.
  T* best_of(std::size_t few) {
    if (draws_.empty()) {
      return nullptr;
    }
    const auto end = draws_.begin() + std::ptrdiff_t(std::min(few, draws_.size()));
    std::nth_element(draws_.begin(), end - 1, draws_.end(),
                     [](const Draw& a, const Draw& b) { return a.key < b.key; });
    return std::min_element(draws_.begin(), end,
                            [](const Draw& a, const Draw& b) {
                              return a.cost < b.cost || (a.cost == b.cost && a.key < b.key);
                            })
        ->item;
  }

 private:
  struct Draw {
    double key = 0, cost = 0;
    T* item = nullptr;
  };
  std::vector<Draw> draws_;
};

}  // namespace quota_gateway
