// A position on an OrderStatisticRing that stays while items come and go, with its rank kept up to
// date.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway {

// How a change of an item altered whether it is counted.
enum class CountChange { kUnchanged, kBecameCounted, kNoLongerCounted };

class RankCursor {
 public:
  std::uint64_t ring_position() const { return position_; }

  // How many counted items lie before the position.
  double rank() const { return static_cast<double>(rank_); }

  // Moves to the counted item that has `rank` counted ones before it; `rank` is less than
  // ring.counted_size().
  template <typename Ring>
  void move_to_rank(const Ring& ring, std::size_t rank) {
    position_ = ring.position_of_rank(rank);
    rank_ = static_cast<std::int64_t>(rank);
  }

  // Must be called for each change of the ring.
  void on_change(std::uint64_t changed_position, CountChange change);

 private:
  std::uint64_t position_ = 0;
  std::int64_t rank_ = 0;
};

}  // namespace quota_gateway
