// A hash index of numbered slots that takes 4 to 11 bytes per slot. The caller owns the records in
// the slots and computes their hashes. Used by EndpointStore.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace quota_gateway::net {

// Open addressing with linear probing in 256 shards. Several slots may have the same hash. A single
// table would rehash all slots when it grows, which takes 20 ms for 170,000 slots, whereas each
// shard grows on its own.
//
// `hash_of(slot)` must return the hash with which the slot was inserted.
class SlotIndex {
 public:
  using Slot = std::uint32_t;

  void insert(std::uint64_t hash, Slot slot, const auto& hash_of) {
    Shard& shard = shards_[shard_of(hash)];
    if (4 * (shard.used + 1) > 3 * shard.cells.size()) {
      grow(shard, hash_of);
    }
    put(shard.cells, hash, slot + 1);
    ++shard.used;
  }

  // Requires that the slot was inserted with this hash.
  void erase(std::uint64_t hash, Slot slot, const auto& hash_of) {
    Shard& shard = shards_[shard_of(hash)];
    Cells& cells = shard.cells;
    const std::size_t mask = cells.size() - 1;
    std::size_t gap = hash & mask;
    while (cells[gap] != slot + 1) {
      gap = (gap + 1) & mask;
    }
    --shard.used;
    // Moves later cells of the probe sequence into the gap, except for cells that would then lie
    // before the position that their hash selects.
    for (std::size_t i = (gap + 1) & mask; cells[i] != 0; i = (i + 1) & mask) {
      const std::size_t home = hash_of(cells[i] - 1) & mask;
      if (((i - home) & mask) < ((i - gap) & mask)) {
        continue;
      }
      cells[gap] = cells[i];
      gap = i;
    }
    cells[gap] = 0;
  }

  // Returns the first slot for which `matches(slot)` is true. Slots whose hashes collide with
  // `hash` are passed to `matches` too.
  std::optional<Slot> find(std::uint64_t hash, const auto& matches) const {
    const Cells& cells = shards_[shard_of(hash)].cells;
    if (cells.empty()) {
      return std::nullopt;
    }
    const std::size_t mask = cells.size() - 1;
    for (std::size_t i = hash & mask; cells[i] != 0; i = (i + 1) & mask) {
      if (matches(cells[i] - 1)) {
        return cells[i] - 1;
      }
    }
    return std::nullopt;
  }

 private:
  // Each cell holds slot + 1, or 0 if it is empty. The number of cells is a power of two.
  using Cells = std::vector<std::uint32_t>;
  struct Shard {
    Cells cells;
    std::size_t used = 0;
  };
  static constexpr std::size_t kMinCells = 4;

  static std::size_t shard_of(std::uint64_t hash) { return hash >> 56; }

  static void put(Cells& cells, std::uint64_t hash, std::uint32_t cell) {
    const std::size_t mask = cells.size() - 1;
    std::size_t position = hash & mask;
    while (cells[position] != 0) {
      position = (position + 1) & mask;
    }
    cells[position] = cell;
  }

  static void grow(Shard& shard, const auto& hash_of) {
    Cells larger(std::max(kMinCells, 2 * shard.cells.size()));
    for (const std::uint32_t cell : shard.cells) {
      if (cell != 0) {
        put(larger, hash_of(cell - 1), cell);
      }
    }
    shard.cells.swap(larger);
  }

  std::array<Shard, 256> shards_;
};

}  // namespace quota_gateway::net
