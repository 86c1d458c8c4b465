// Sorted container of items on a ring of 2^64 positions. Some of the items are counted; the rank of
// a position is the number of counted items before it, and a counted item can be found by its rank.
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

// Items are ordered by position, and items at the same position by name. `Item` has a unique
// `name`, which converts to std::string_view, and a bool `counted`, which only the ring may change
// after the item was inserted.
//
// The items are stored in sorted blocks of bounded size. A search costs a binary search over the
// blocks and a scan of one block. An insertion or erasure also shifts items within one block, which
// costs the same however many items there are. Adding or removing a block shifts the arrays that
// have one element per block.
//
// Each insertion and erasure moves items in memory and invalidates all Slots and all references to
// items.
template <typename Item>
class OrderStatisticRing {
 public:
  // Storage location of an item.
  struct Slot {
    std::size_t block = 0;
    std::size_t index = 0;
  };

  struct FindResult {
    Slot slot;  // of the item, or where it would be inserted
    bool found = false;
  };

  std::size_t size() const { return size_; }
  std::size_t counted_size() const { return counted_size_; }

  // `slot` must be the slot of an item.
  Item& at(Slot slot) { return blocks_[slot.block]->items[slot.index]; }
  std::uint64_t ring_position(Slot slot) const {
    return blocks_[slot.block]->positions[slot.index];
  }

  // Finds the item with this position and name, or the slot where it would be inserted.
  FindResult find(std::uint64_t position, std::string_view name) const;

  // Inserts an item at the slot that `find` returned for its position and name. Returns the slot of
  // the item, which may differ from `slot`.
  Slot insert(Slot slot, std::uint64_t position, Item item);

  void erase(Slot slot);

  void set_counted(Slot slot, bool counted);

  // Returns the position of the counted item that has `rank` counted items before it; `rank` must
  // be less than counted_size(). The cost is linear in the number of blocks.
  std::uint64_t position_of_rank(std::size_t rank) const;

  // Calls `visit(position, item)` for each counted item, from `position` on and once around the
  // ring, until `visit` returns false. `visit` must not insert or erase items or change their
  // `counted`.
  template <typename Visit>
  void visit_counted_from(std::uint64_t position, Visit visit);

  // Calls `visit(slot)` for each item, in order. `visit` must not insert or erase items.
  template <typename Visit>
  void for_each(Visit visit);

  // Erases the items for which `predicate(item)` is true.
  template <typename Predicate>
  void erase_if(Predicate predicate);

 private:
  static constexpr std::size_t kBlockCapacity = 64;  // an insertion shifts a third of it on average
  // A block with fewer items is merged with the next one, if the result does not exceed
  // kMaxMergedSize.
  static constexpr std::size_t kMergeThreshold = kBlockCapacity / 4;
  // Less than the capacity, to leave space for insertions.
  static constexpr std::size_t kMaxMergedSize = kBlockCapacity / 4 * 3;

  struct Block {
    // Positions of `items`. They are stored in the block itself and apart from the items, so that a
    // search of the block waits for memory only once.
    std::array<std::uint64_t, kBlockCapacity> positions;
    std::vector<Item> items;
  };

  static std::ptrdiff_t offset(std::size_t index) { return static_cast<std::ptrdiff_t>(index); }

  // Returns the last block that starts at or before the position, or 0 if there is none.
  std::size_t block_containing(std::uint64_t position) const;
  // Returns the index of the first item of the block that is at or after the position, or the
  // number of its items if there is none.
  static std::size_t first_index_at(const Block& block, std::uint64_t position);
  Slot split(Slot slot);
  void merge_with_next(std::size_t block);
  void insert_block(std::size_t block, std::uint64_t first_position);
  void erase_block(std::size_t block);

  // No block is empty. Stored as pointers because a split shifts all later elements.
  std::vector<std::unique_ptr<Block>> blocks_;
  std::vector<std::uint64_t> first_positions_;  // position of the first item of each block
  // Number of counted items in each block. Stored apart from the blocks, so that the search for a
  // rank reads contiguous memory.
  std::vector<std::uint32_t> counted_in_block_;
  std::size_t size_ = 0;
  std::size_t counted_size_ = 0;
};

template <typename Item>
typename OrderStatisticRing<Item>::FindResult OrderStatisticRing<Item>::find(
    std::uint64_t position, std::string_view name) const {
  if (blocks_.empty()) {
    return {};
  }
  const auto name_at = [](const Block& block, std::size_t index) {
    return static_cast<std::string_view>(block.items[index].name);
  };
  Slot slot;
  slot.block = block_containing(position);
  // The items at this position may begin in an earlier block.
  while (slot.block > 0 && first_positions_[slot.block] == position &&
         name < name_at(*blocks_[slot.block], 0)) {
    --slot.block;
  }
  const Block& block = *blocks_[slot.block];
  slot.index = first_index_at(block, position);
  const auto is_at_position = [&](std::size_t index) {
    return index < block.items.size() && block.positions[index] == position;
  };
  while (is_at_position(slot.index) && name_at(block, slot.index) < name) {
    ++slot.index;
  }
  return {slot, is_at_position(slot.index) && name_at(block, slot.index) == name};
}

template <typename Item>
typename OrderStatisticRing<Item>::Slot OrderStatisticRing<Item>::insert(Slot slot,
                                                                         std::uint64_t position,
                                                                         Item item) {
  if (blocks_.empty()) {
    insert_block(0, position);
  }
  if (blocks_[slot.block]->items.size() == kBlockCapacity) {
    slot = split(slot);
  }
  Block& block = *blocks_[slot.block];
  if (item.counted) {
    ++counted_in_block_[slot.block];
    ++counted_size_;
  }
  const auto position_entry = block.positions.begin() + offset(slot.index);
  const auto end = block.positions.begin() + offset(block.items.size());
  std::copy_backward(position_entry, end, end + 1);
  *position_entry = position;
  block.items.insert(block.items.begin() + offset(slot.index), std::move(item));
  first_positions_[slot.block] = block.positions.front();
  ++size_;
  return slot;
}

template <typename Item>
void OrderStatisticRing<Item>::erase(Slot slot) {
  set_counted(slot, false);
  Block& block = *blocks_[slot.block];
  const auto position_entry = block.positions.begin() + offset(slot.index);
  std::copy(position_entry + 1, block.positions.begin() + offset(block.items.size()),
            position_entry);
  block.items.erase(block.items.begin() + offset(slot.index));
  --size_;
  if (block.items.empty()) {
    erase_block(slot.block);
    return;
  }
  first_positions_[slot.block] = block.positions.front();
  const std::size_t remaining = block.items.size();
  const std::size_t next = slot.block + 1;
  // The size of the next block is read last, because it is elsewhere in memory and rarely needed.
  if (remaining < kMergeThreshold && next < blocks_.size() &&
      remaining + blocks_[next]->items.size() <= kMaxMergedSize) {
    merge_with_next(slot.block);
  }
}

template <typename Item>
void OrderStatisticRing<Item>::set_counted(Slot slot, bool counted) {
  Item& item = at(slot);
  if (item.counted == counted) {
    return;
  }
  item.counted = counted;
  if (counted) {
    ++counted_in_block_[slot.block];
    ++counted_size_;
  } else {
    --counted_in_block_[slot.block];
    --counted_size_;
  }
}

template <typename Item>
std::uint64_t OrderStatisticRing<Item>::position_of_rank(std::size_t rank) const {
  std::size_t block_index = 0;
  while (rank >= counted_in_block_[block_index]) {
    rank -= counted_in_block_[block_index];
    ++block_index;
  }
  const Block& block = *blocks_[block_index];
  std::size_t index = 0;
  while (!block.items[index].counted || rank > 0) {
    if (block.items[index].counted) {
      --rank;
    }
    ++index;
  }
  return block.positions[index];
}

template <typename Item>
template <typename Visit>
void OrderStatisticRing<Item>::visit_counted_from(std::uint64_t position, Visit visit) {
  if (blocks_.empty()) {
    return;
  }
  const std::size_t first_block = block_containing(position);
  const std::size_t start = first_index_at(*blocks_[first_block], position);
  // The first block is visited twice: first from `start` to its end, and last up to `start`.
  for (std::size_t i = 0; i <= blocks_.size(); ++i) {
    Block& block = *blocks_[(first_block + i) % blocks_.size()];
    const std::size_t begin = i == 0 ? start : 0;
    const std::size_t end = i == blocks_.size() ? start : block.items.size();
    for (std::size_t index = begin; index < end; ++index) {
      Item& item = block.items[index];
      if (item.counted && !visit(block.positions[index], item)) {
        return;
      }
    }
  }
}

template <typename Item>
template <typename Visit>
void OrderStatisticRing<Item>::for_each(Visit visit) {
  for (std::size_t block = 0; block < blocks_.size(); ++block) {
    for (std::size_t index = 0; index < blocks_[block]->items.size(); ++index) {
      visit(Slot{block, index});
    }
  }
}

template <typename Item>
template <typename Predicate>
void OrderStatisticRing<Item>::erase_if(Predicate predicate) {
  // Iterates backwards, because an erasure moves only the items after the erased one.
  for (std::size_t block = blocks_.size(); block-- > 0;) {
    for (std::size_t index = blocks_[block]->items.size(); index-- > 0;) {
      if (predicate(blocks_[block]->items[index])) {
        erase({block, index});
      }
    }
  }
}

template <typename Item>
std::size_t OrderStatisticRing<Item>::block_containing(std::uint64_t position) const {
  const auto next = std::upper_bound(first_positions_.begin(), first_positions_.end(), position);
  if (next == first_positions_.begin()) {
    return 0;
  }
  return static_cast<std::size_t>(next - first_positions_.begin()) - 1;
}

template <typename Item>
std::size_t OrderStatisticRing<Item>::first_index_at(const Block& block, std::uint64_t position) {
  std::size_t before = 0;
  for (std::size_t index = 0; index < block.items.size(); ++index) {  // without branches
    before += static_cast<std::size_t>(block.positions[index] < position);
  }
  return before;
}

// Moves the upper half of a full block to a new block. Returns the new location of `slot`.
template <typename Item>
typename OrderStatisticRing<Item>::Slot OrderStatisticRing<Item>::split(Slot slot) {
  constexpr std::size_t kHalf = kBlockCapacity / 2;
  const std::size_t upper = slot.block + 1;
  insert_block(upper, blocks_[slot.block]->positions[kHalf]);
  Block& low = *blocks_[slot.block];
  Block& high = *blocks_[upper];
  std::copy(low.positions.begin() + offset(kHalf), low.positions.end(), high.positions.begin());
  const auto middle = low.items.begin() + offset(kHalf);
  high.items.assign(std::make_move_iterator(middle), std::make_move_iterator(low.items.end()));
  low.items.erase(middle, low.items.end());
  for (const Item& item : high.items) {
    counted_in_block_[upper] += static_cast<std::uint32_t>(item.counted);
  }
  counted_in_block_[slot.block] -= counted_in_block_[upper];
  return slot.index <= kHalf ? slot : Slot{upper, slot.index - kHalf};
}

template <typename Item>
void OrderStatisticRing<Item>::merge_with_next(std::size_t block) {
  Block& low = *blocks_[block];
  Block& high = *blocks_[block + 1];
  std::copy_n(high.positions.begin(), high.items.size(),
              low.positions.begin() + offset(low.items.size()));
  low.items.insert(low.items.end(), std::make_move_iterator(high.items.begin()),
                   std::make_move_iterator(high.items.end()));
  counted_in_block_[block] += counted_in_block_[block + 1];
  erase_block(block + 1);
}

template <typename Item>
void OrderStatisticRing<Item>::insert_block(std::size_t block, std::uint64_t first_position) {
  blocks_.insert(blocks_.begin() + offset(block), std::make_unique<Block>());
  first_positions_.insert(first_positions_.begin() + offset(block), first_position);
  counted_in_block_.insert(counted_in_block_.begin() + offset(block), 0);
}

template <typename Item>
void OrderStatisticRing<Item>::erase_block(std::size_t block) {
  blocks_.erase(blocks_.begin() + offset(block));
  first_positions_.erase(first_positions_.begin() + offset(block));
  counted_in_block_.erase(counted_in_block_.begin() + offset(block));
}

}  // namespace quota_gateway
