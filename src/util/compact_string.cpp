#include "util/compact_string.hpp"

#include <cstdint>
#include <cstring>

namespace quota_gateway {

CompactString::CompactString(std::string_view text)
    : bytes_(new char[sizeof(std::uint32_t) + text.size()]) {
  const auto size = static_cast<std::uint32_t>(text.size());
  std::memcpy(bytes_.get(), &size, sizeof size);
  if (size > 0) {
    std::memcpy(bytes_.get() + sizeof size, text.data(), size);
  }
}

std::string_view CompactString::view() const {
  std::uint32_t size = 0;
  std::memcpy(&size, bytes_.get(), sizeof size);
  return {bytes_.get() + sizeof size, size};
}

}  // namespace quota_gateway
