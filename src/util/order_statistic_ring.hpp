// Items in the order of their places on a ring of 2^64, some of them counted: nothing that decides.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace quota_gateway {

// T has a unique `name`, read as a string_view, and a bool `counted`. Sorted blocks: a search, an
// insertion and an erasure cost a binary search over the blocks and the shift of part of one,
// whatever the size. Danger: items move in memory at each insertion and erasure; only a Position
// from after the last of them is good.
template <typename T>
class OrderStatisticRing {
 public:
  struct Position {
    std::size_t block = 0, index = 0;
  };

  std::size_t size() const { return size_; }
  std::size_t counted() const { return counted_; }

  T& at(Position p) { return blocks_[p.block]->items[p.index]; }
  std::uint64_t place(Position p) const { return blocks_[p.block]->places[p.index]; }

  // Where the item is, or would be inserted; true if it is there.
  std::pair<Position, bool> find(std::uint64_t place, std::string_view name) const {
    Position p;
    if (blocks_.empty()) {
      return {p, false};
    }
    p.block = block_of(place);
    while (p.block > 0 && first_[p.block] == place &&
           name < std::string_view(blocks_[p.block]->items.front().name)) {
      --p.block;
    }
    const Block& b = *blocks_[p.block];
    p.index = index_of(b, place);
    while (p.index < b.items.size() && b.places[p.index] == place &&
           std::string_view(b.items[p.index].name) < name) {
      ++p.index;
    }
    const bool found = p.index < b.items.size() && b.places[p.index] == place &&
                       std::string_view(b.items[p.index].name) == name;
    return {p, found};
  }

  // At a position that `find` gave for this place and name. Returns where it is now.
  Position insert(Position p, std::uint64_t place, T item) {
    if (blocks_.empty()) {
      add(0, place);
    }
    if (blocks_[p.block]->items.size() == kBlock) {
      p = split(p);
    }
    Block& b = *blocks_[p.block];
    if (item.counted) {
      ++counts_[p.block], ++counted_;
    }
    const auto spot = b.places.begin() + std::ptrdiff_t(p.index);
    const auto end = b.places.begin() + std::ptrdiff_t(b.items.size());
    std::copy_backward(spot, end, end + 1);
    *spot = place;
    b.items.insert(b.items.begin() + std::ptrdiff_t(p.index), std::move(item));
    first_[p.block] = b.places.front();
    ++size_;
    return p;
  }

  void erase(Position p) {
    Block& b = *blocks_[p.block];
    count(p, false);
    const auto spot = b.places.begin() + std::ptrdiff_t(p.index);
    std::copy(spot + 1, b.places.begin() + std::ptrdiff_t(b.items.size()), spot);
    b.items.erase(b.items.begin() + std::ptrdiff_t(p.index));
    --size_;
    if (b.items.empty()) {
      return drop(p.block);
    }
    first_[p.block] = b.places.front();
    const std::size_t next = p.block + 1;
    const std::size_t n = b.items.size();  // the next block is seldom worth a look
    if (n < kBlock / 4 && next < blocks_.size() &&
        n + blocks_[next]->items.size() <= kBlock / 4 * 3) {
      merge(p.block);
    }
  }

  void count(Position p, bool counted) {
    T& item = at(p);
    if (item.counted == counted) {
      return;
    }
    item.counted = counted;
    const std::uint32_t by = counted ? 1 : std::uint32_t(-1);
    counts_[p.block] += by;
    counted_ = counted ? counted_ + 1 : counted_ - 1;
  }

  // The place of the counted item that has `rank` counted ones before it; rank < counted().
  std::uint64_t select(std::size_t rank) const {
    std::size_t block = 0;
    std::size_t index = 0;
    while (rank >= counts_[block]) {
      rank -= counts_[block++];
    }
    const Block& b = *blocks_[block];
    while (!b.items[index].counted || rank-- > 0) {
      ++index;
    }
    return b.places[index];
  }

  // Counted items from a place on, once round the ring at the most, while `visit(place, item)` says
  // so.
  template <typename Visit>
  void walk(std::uint64_t from, Visit visit) {
    if (blocks_.empty()) {
      return;
    }
    const std::size_t first = block_of(from);
    const std::size_t start = index_of(*blocks_[first], from);
    for (std::size_t i = 0; i <= blocks_.size(); ++i) {
      Block& b = *blocks_[(first + i) % blocks_.size()];
      const std::size_t end = i == blocks_.size() ? start : b.items.size();
      for (std::size_t k = i == 0 ? start : 0; k < end; ++k) {
        if (b.items[k].counted && !visit(b.places[k], b.items[k])) {
          return;
        }
      }
    }
  }

  // All, counted or not; `visit(position)` inserts and erases nothing.
  template <typename Visit>
  void each(Visit visit) {
    for (Position p; p.block < blocks_.size(); ++p.block) {
      for (p.index = 0; p.index < blocks_[p.block]->items.size(); ++p.index) {
        visit(p);
      }
    }
  }

  template <typename Gone>
  void erase_if(Gone gone) {
    for (std::size_t block = blocks_.size(); block-- > 0;) {
      for (std::size_t index = blocks_[block]->items.size(); index-- > 0;) {
        if (gone(blocks_[block]->items[index])) {
          erase({block, index});
        }
      }
    }
  }

 private:
  static constexpr std::size_t kBlock = 64;  // items; one insertion moves a third of so many
  struct Block {
    std::array<std::uint64_t, kBlock>
        places;  // of the items; apart and here, so that a search waits once
    std::vector<T> items;
  };

  std::size_t block_of(std::uint64_t place) const {
    const auto after = std::upper_bound(first_.begin(), first_.end(), place);
    return after == first_.begin() ? 0 : std::size_t(after - first_.begin()) - 1;
  }
  static std::size_t index_of(const Block& b, std::uint64_t place) {
    std::size_t before = 0;
    for (std::size_t i = 0; i < b.items.size(); ++i) {
      before += b.places[i] < place;
    }
    return before;
  }

  Position split(Position p) {
    add(p.block + 1, blocks_[p.block]->places[kBlock / 2]);
    Block& low = *blocks_[p.block];
    Block& high = *blocks_[p.block + 1];
    const auto half = std::ptrdiff_t(kBlock / 2);
    std::copy(low.places.begin() + half, low.places.end(), high.places.begin());
    high.items.assign(std::make_move_iterator(low.items.begin() + half),
                      std::make_move_iterator(low.items.end()));
    low.items.erase(low.items.begin() + half, low.items.end());
    for (const T& item : high.items) {
      counts_[p.block + 1] += item.counted;
    }
    counts_[p.block] -= counts_[p.block + 1];
    return p.index <= kBlock / 2 ? p : Position{p.block + 1, p.index - kBlock / 2};
  }
  void merge(std::size_t block) {
    Block& low = *blocks_[block];
    Block& high = *blocks_[block + 1];
    std::copy_n(high.places.begin(), high.items.size(),
                low.places.begin() + std::ptrdiff_t(low.items.size()));
    low.items.insert(low.items.end(), std::make_move_iterator(high.items.begin()),
                     std::make_move_iterator(high.items.end()));
    counts_[block] += counts_[block + 1];
    drop(block + 1);
  }
  void add(std::size_t block, std::uint64_t first) {
    blocks_.insert(blocks_.begin() + std::ptrdiff_t(block), std::make_unique<Block>());
    first_.insert(first_.begin() + std::ptrdiff_t(block), first);
    counts_.insert(counts_.begin() + std::ptrdiff_t(block), 0);
  }
  void drop(std::size_t block) {
    blocks_.erase(blocks_.begin() + std::ptrdiff_t(block));
    first_.erase(first_.begin() + std::ptrdiff_t(block));
    counts_.erase(counts_.begin() + std::ptrdiff_t(block));
  }

  std::vector<std::unique_ptr<Block>>
      blocks_;                        // none is empty; by pointer, since a split moves all after it
  std::vector<std::uint64_t> first_;  // the first place of each
  std::vector<std::uint32_t>
      counts_;  // how many of each are counted; apart, so that a rank is found fast
  std::size_t size_ = 0, counted_ = 0;
};

// A place on a ring that is kept while items come and go, and how many counted ones lie before it.
class RankCursor {
 public:
  std::uint64_t place() const { return place_; }
  double rank() const { return double(rank_); }
  template <typename Ring>
  void set(const Ring& ring, std::size_t rank) {
    place_ = ring.select(rank);
    rank_ = std::int64_t(rank);
  }
  // An item at `place` is counted now and was not (1), or the other way round (-1).
  void moved(std::uint64_t place, int by) {
    if (place < place_) {
      rank_ += by;
    }
  }

 private:
  std::uint64_t place_ = 0;
  std::int64_t rank_ = 0;
};

}  // namespace quota_gateway
