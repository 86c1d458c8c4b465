// A fixed position on an OrderStatisticRing, with a rank that is kept up to date while items are
// inserted and erased and while their `counted` flag changes.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway {

// How a change to an item affected whether the item is counted.
enum class CountChange { kUnchanged, kBecameCounted, kNoLongerCounted };

// Starts at position 0 with rank 0.
class RankCursor {
 public:
  std::uint64_t ring_position() const { return position_; }

  // Number of counted items before the position.
  double rank() const { return static_cast<double>(rank_); }

  // Moves to the position of the counted item that has `rank` counted items before it; `rank` must
  // be less than ring.counted_size().
  template <typename Ring>
  void move_to_rank(const Ring& ring, std::size_t rank) {
    position_ = ring.position_of_rank(rank);
    rank_ = static_cast<std::int64_t>(rank);
  }

  // Updates the rank after an item at `changed_position` has changed. Must be called for every
  // change to the ring.
  void on_change(std::uint64_t changed_position, CountChange change);

 private:
  std::uint64_t position_ = 0;
  std::int64_t rank_ = 0;
};

}  // namespace quota_gateway
