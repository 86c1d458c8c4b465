// A string with an object size of one pointer, for data structures that hold very many strings.
#pragma once

#include <memory>
#include <string_view>

namespace quota_gateway {

// Holds fewer than 2^32 arbitrary bytes. The bytes cannot be modified. A moved-from object may only
// be destroyed or assigned to.
class CompactString {
 public:
  explicit CompactString(std::string_view text);

  // The view is valid until the string is destroyed or assigned to. Moving the string to another
  // object keeps the view valid.
  std::string_view view() const;
  operator std::string_view() const { return view(); }

 private:
  // The size in four bytes, followed by the text. A std::vector would take three pointers.
  // NOLINTNEXTLINE(modernize-avoid-c-arrays): the length is only known at run time
  std::unique_ptr<char[]> bytes_;
};

}  // namespace quota_gateway
