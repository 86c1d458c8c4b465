#include "util/compact_string.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace quota_gateway {
namespace {

TEST(CompactString, StoresArbitraryBytes) {
  for (const std::string& text : {std::string(), std::string("a\0b", 3), std::string(300, 'x')}) {
    EXPECT_EQ(std::string_view(CompactString(text)), text);
  }
}

}  // namespace
}  // namespace quota_gateway
