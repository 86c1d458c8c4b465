#include "util/string_interner.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace quota_gateway {
namespace {

TEST(StringInterner, StoresEachStringOnceUntilItsLastRelease) {
  StringInterner interner;
  const auto first = interner.acquire("a");
  const auto second = interner.acquire("b");
  EXPECT_EQ(interner.acquire("a"), first);
  EXPECT_NE(first, second);
  interner.release(first);
  interner.release(second);
  EXPECT_EQ(interner[first], "a");
  EXPECT_EQ(interner.size(), 1U);
  for (int i = 0; i < 100; ++i) {
    interner.release(interner.acquire("passing"));
  }
  EXPECT_EQ(interner.acquire("c"), second);  // the id of the released string is reused
}

TEST(StringInterner, FindsOnlyAcquiredStringsAndAddsNoReference) {
  StringInterner interner;
  EXPECT_EQ(interner.find("a"), std::nullopt);
  const auto id = interner.acquire("a");
  EXPECT_EQ(interner.find("a"), id);
  interner.release(id);
  EXPECT_EQ(interner.find("a"), std::nullopt);
}

}  // namespace
}  // namespace quota_gateway
