// Compares OrderStatisticRing with a sorted map on which the same operations are performed.
#include "util/order_statistic_ring.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "util/hash.hpp"
#include "util/random.hpp"

namespace quota_gateway {
namespace {

struct Item {
  std::string name;
  bool counted = false;
};
using Ring = OrderStatisticRing<Item>;
using Key = std::pair<std::uint64_t, std::string>;  // ring position and name
using Model = std::map<Key, bool>;                  // whether the item is counted

// Returns one of 4,096 positions, so that several names share a position.
std::uint64_t position_of(const std::string& name) {
  return hash_text(name) >> 52 << 52;
}

std::vector<std::string> counted_from(const Model& model, std::uint64_t position) {
  std::vector<std::string> before;
  std::vector<std::string> names;
  for (const auto& [key, counted] : model) {
    if (counted) {
      (key.first < position ? before : names).push_back(key.second);
    }
  }
  names.insert(names.end(), before.begin(), before.end());
  return names;
}

std::vector<std::string> counted_from(Ring& ring, std::uint64_t position) {
  std::vector<std::string> names;
  ring.visit_counted_from(position, [&](std::uint64_t, const Item& item) {
    names.push_back(item.name);
    return true;
  });
  return names;
}

void expect_equal(Ring& ring, const Model& model, std::uint64_t from) {
  ASSERT_EQ(ring.size(), model.size());
  const auto expected = counted_from(model, from);
  ASSERT_EQ(counted_from(ring, from), expected);
  ASSERT_EQ(ring.counted_size(), expected.size());
  const auto in_order = counted_from(model, 0);
  for (std::size_t rank = 0; rank < in_order.size(); rank += 1 + in_order.size() / 7) {
    ASSERT_EQ(ring.position_of_rank(rank), position_of(in_order[rank]));
  }
}

// Guards against the loss of items when blocks are split or merged, or when several names share a
// position.
TEST(OrderStatisticRing, MatchesASortedMapAfterRandomOperations) {
  std::uint64_t random = 5;
  Ring ring;
  Model model;
  for (int i = 0; i < 40'000; ++i) {
    // The ring alternately grows for 10,000 steps and shrinks for 10,000 steps.
    const bool grows = (i / 10'000) % 2 == 0;
    const std::string name = std::to_string(static_cast<std::uint64_t>(uniform(random) * 8'000));
    const std::uint64_t position = position_of(name);
    const auto [slot, found] = ring.find(position, name);
    ASSERT_EQ(found, model.contains({position, name}));
    const bool counted = uniform(random) < 0.8;
    if (!found && (grows || counted)) {
      if (!grows) {
        continue;
      }
      const Ring::Slot inserted = ring.insert(slot, position, {name, counted});
      ASSERT_EQ(ring.at(inserted).name, name);
      model[{position, name}] = counted;
    } else if (found && (grows || uniform(random) < 0.1)) {
      ring.set_counted(slot, counted);
      model[{position, name}] = counted;
    } else if (found) {
      ring.erase(slot);
      model.erase({position, name});
    }
    if (i % 500 == 0) {
      ASSERT_NO_FATAL_FAILURE(expect_equal(ring, model, mix(random)));
    }
  }
  ring.erase_if([](const Item& item) { return item.counted; });
  std::erase_if(model, [](const auto& entry) { return entry.second; });
  EXPECT_EQ(ring.size(), model.size());
  std::size_t visited = 0;
  ring.for_each([&](Ring::Slot) { ++visited; });
  EXPECT_EQ(visited, model.size());
  ring.erase_if([](const Item&) { return true; });
  EXPECT_EQ(ring.size(), 0U);
  EXPECT_TRUE(counted_from(ring, 0).empty());
}

}  // namespace
}  // namespace quota_gateway
