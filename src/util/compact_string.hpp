// A string that takes one pointer and its own bytes, for structures that hold a great many of them.
#pragma once

#include <memory>
#include <string_view>

namespace quota_gateway {

// Any bytes, fewer than 2^32 of them. Never changes; a moved-from one may only be destroyed or
// assigned to.
class CompactString {
 public:
  explicit CompactString(std::string_view text);

  // Valid while this string lives; moving the string keeps it valid.
  std::string_view view() const;
  operator std::string_view() const { return view(); }

 private:
  // Its size in four bytes, then the text. A vector would take three pointers.
  // NOLINTNEXTLINE(modernize-avoid-c-arrays): the length is known at run time only
  std::unique_ptr<char[]> bytes_;
};

}  // namespace quota_gateway
