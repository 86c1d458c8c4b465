// The list of servers at all sizes: containers, cost, memory, parts. Each test is named after its danger.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "support/counted_ring.hpp"
#include "support/numbers.hpp"
#include "support/texts.hpp"

namespace cottonroad {
namespace {

struct Item {
  std::string name;
  bool counted = false;
};
using Ring = CountedRing<Item>;
using Model = std::map<std::pair<std::uint64_t, std::string>, bool>;  // counted, by place and name

std::vector<std::string> counted_from(const Model& model, std::uint64_t from) {
  std::vector<std::string> before, after;
  for (const auto& [key, counted] : model)
    if (counted) (key.first < from ? before : after).push_back(key.second);
  after.insert(after.end(), before.begin(), before.end());
  return after;
}

std::vector<std::string> walked_from(Ring& ring, std::uint64_t from) {
  std::vector<std::string> out;
  ring.walk(from, [&](std::uint64_t, const Item& item) {
    out.push_back(item.name);
    return true;
  });
  return out;
}

TEST(CountedRing, IsTheSameAsASortedMapThroughAnyChanges) {
  // Guards against items lost where blocks split and merge, and where places are shared by several names.
  std::uint64_t random = 5;
  Ring ring;
  Model model;
  for (int i = 0; i < 40'000; ++i) {
    // It grows to some thousands, shrinks to a few, and grows again.
    const bool grows = (i / 10'000) % 2 == 0;
    const std::string name = std::to_string(std::uint64_t(uniform(random) * 8'000));
    const std::uint64_t place = hash_text(name) >> 52 << 52;  // 4,096 places
    const auto [at, found] = ring.find(place, name);
    ASSERT_EQ(found, model.count({place, name}) > 0);
    const bool counted = uniform(random) < 0.8;
    if (!found && (grows || counted)) {
      if (!grows) continue;
      const auto now_at = ring.insert(at, place, {name, counted});
      ASSERT_EQ(ring.at(now_at).name, name);
      model[{place, name}] = counted;
    } else if (found && (grows || uniform(random) < 0.1)) {
      ring.count(at, counted);
      model[{place, name}] = counted;
    } else if (found) {
      ring.erase(at);
      model.erase({place, name});
    }
    if (i % 500 != 0) continue;
    ASSERT_EQ(ring.size(), model.size());
    const std::uint64_t from = mix(random);
    const auto expected = counted_from(model, from);
    ASSERT_EQ(walked_from(ring, from), expected);
    ASSERT_EQ(ring.counted(), expected.size());
    const auto in_order = counted_from(model, 0);
    for (std::size_t rank = 0; rank < in_order.size(); rank += 1 + in_order.size() / 7)
      ASSERT_EQ(ring.select(rank), hash_text(in_order[rank]) >> 52 << 52);
  }
  ring.erase_if([](const Item& item) { return item.counted; });
  std::erase_if(model, [](const auto& e) { return e.second; });
  EXPECT_EQ(ring.size(), model.size());
  std::size_t visited = 0;
  ring.each([&](Ring::Position) { ++visited; });
  EXPECT_EQ(visited, model.size());
  ring.erase_if([](const Item&) { return true; });
  EXPECT_EQ(ring.size(), 0u);
  EXPECT_TRUE(walked_from(ring, 0).empty());
}

TEST(Interned, KeepsEachTextOnceAndOnlyWhileItIsHeld) {
  Interned zones;
  const auto a = zones.take("a"), b = zones.take("b");
  EXPECT_EQ(zones.take("a"), a);
  EXPECT_NE(a, b);
  zones.drop(a);
  zones.drop(b);
  EXPECT_EQ(zones[a], "a");
  EXPECT_EQ(zones.size(), 1u);
  for (int i = 0; i < 100; ++i) zones.drop(zones.take("passing"));
  EXPECT_EQ(zones.take("c"), b);  // numbers are used again
}

TEST(CompactText, HoldsAnyBytes) {
  for (const std::string& text : {std::string(), std::string("a\0b", 3), std::string(300, 'x')})
    EXPECT_EQ(std::string_view(CompactText(text)), text);
}

}  // namespace
}  // namespace cottonroad
