// A hash index of numbered slots, 4 to 11 bytes a slot. The caller owns the records in the slots
// and computes their hashes. Used by EndpointStore.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace quota_gateway::net {

// Open addressing with linear probing. Several slots may have the same hash. One table that grows
// would move all its content at once, which takes 20 ms at 170,000 slots; the shards grow one by
// one.
//
// `hash_of(slot)` returns the hash with which a slot was inserted.
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

  // The slot must have been inserted with this hash.
  void erase(std::uint64_t hash, Slot slot, const auto& hash_of) {
    Shard& shard = shards_[shard_of(hash)];
    Cells& cells = shard.cells;
    const std::size_t mask = cells.size() - 1;
    std::size_t gap = hash & mask;
    while (cells[gap] != slot + 1) {
      gap = (gap + 1) & mask;
    }
    --shard.used;
    // The cells behind the gap move up, unless that would put them before their first position.
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

  // The first slot of that hash, or of one that collides with it, for which `matches(slot)` holds.
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
  // Each a slot + 1, or 0 if it is empty; a power of two of them.
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
